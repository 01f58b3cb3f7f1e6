package org.jaywood.metering;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Writes the counts of this process into the store. The object is that of the VM, so that
 * counts of processes which ran there before are read first and written with them until
 * their windows are sealed. Preserves the counts of a process that is restarted while
 * there is no leader. Used by one thread.
 */
public final class UsageFallback {

	private final String process;

	private final CountCopies copies;

	private final UsageCountStore store;

	/** Revision of the object, empty if it has to be read. */
	private OptionalLong revision = OptionalLong.empty();

	/**
	 * Creates a fallback.
	 * @param process random id of this process
	 * @param copies counts of other processes
	 */
	public UsageFallback(String process, CountCopies copies, UsageCountStore store) {
		this.process = process;
		this.copies = copies;
		this.store = store;
	}

	/**
	 * Writes the counts.
	 * @param counts counts of this process by window and workspace
	 * @throws IOException if the store does not confirm it
	 */
	public void write(Map<Long, Map<String, Long>> counts) throws IOException {
		long expected = this.revision.isPresent() ? this.revision.getAsLong() : read();
		this.revision = OptionalLong.empty();
		List<ProcessCounts> all = new ArrayList<>();
		all.add(new ProcessCounts(this.process, counts));
		all.addAll(this.copies.allExcept(this.process));
		this.revision = OptionalLong.of(this.store.write(all, expected));
	}

	private long read() throws IOException {
		UsageCountStore.Stored stored = this.store.readOwn();
		stored.counts()
			.stream()
			.filter((earlier) -> !earlier.process().equals(this.process))
			.forEach(this.copies::merge);
		return stored.revision();
	}

}
