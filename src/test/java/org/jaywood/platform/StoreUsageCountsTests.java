package org.jaywood.platform;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.event.EventLog;
import org.jaywood.metering.CountCopies;
import org.jaywood.metering.ProcessCounts;
import org.jaywood.metering.UsageConfirmation;
import org.jaywood.metering.UsageFallback;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against counts in the store that are lost because a process is restarted on its
 * VM while there is no leader.
 */
class StoreUsageCountsTests {

	private static final Map<Long, Map<String, Long>> EARLIER = Map.of(7L, Map.of("a", 5L), 8L, Map.of("a", 2L));

	private static final Map<Long, Map<String, Long>> LATER = Map.of(8L, Map.of("a", 1L));

	private final FakeMetadataStore store = new FakeMetadataStore(new Address("127.0.0.1", 0), new EventLog("store"));

	private final StoreUsageCounts counts = new StoreUsageCounts(new MetadataStoreClient(this.store.address()), "vm-1");

	private final CountCopies copies = new CountCopies();

	private final UsageFallback first = new UsageFallback("first", new CountCopies(), this.counts);

	private final UsageFallback second = new UsageFallback("second", this.copies, this.counts);

	@AfterEach
	void close() {
		this.store.close();
	}

	@Test
	void restartedProcessKeepsTheCountsOfItsPredecessorUntilTheirWindowsAreSealed() throws IOException {
		this.first.write(EARLIER);
		this.second.write(LATER);
		this.second.write(LATER);
		assertThat(this.counts.readAll()).containsExactly(new ProcessCounts("second", LATER),
				new ProcessCounts("first", EARLIER));
		this.copies.onConfirmed(new UsageConfirmation(7, 1, null));
		this.second.write(LATER);
		assertThat(this.counts.readAll()).containsExactly(new ProcessCounts("second", LATER),
				new ProcessCounts("first", Map.of(8L, Map.of("a", 2L))));
	}

	/**
	 * Guards against a gateway that can never again store counts because of one bad
	 * object.
	 */
	@Test
	void malformedObjectIsReplaced() throws IOException {
		this.store.put("usage-counts", "vm-1", Map.of("Windows", Map.of("x", Map.of("a", 1))));
		this.second.write(LATER);
		assertThat(this.counts.readAll()).containsExactly(new ProcessCounts("second", LATER));
	}

	/** Guards against copies that no longer fit into a report. */
	@Test
	void copiesOfCountsAreBounded() {
		Map<String, Long> workspaces = IntStream.range(0, 4_000)
			.boxed()
			.collect(Collectors.toMap(String::valueOf, Long::valueOf));
		this.copies.merge(new ProcessCounts("first", Map.of(7L, workspaces, 8L, workspaces, 9L, workspaces)));
		assertThat(this.copies.allExcept("")
			.stream()
			.flatMap((copy) -> copy.windows().values().stream())
			.mapToInt(Map::size)
			.sum()).isEqualTo(8 * 1024);
	}

	/**
	 * A write without a response may be executed seconds later.
	 */
	@Test
	void lateWriteOfThePredecessorRemovesNothing() throws IOException {
		this.first.write(EARLIER);
		long revision = this.counts.readOwn().revision();
		this.second.write(LATER);
		Failures.thrownBy(IOException.class,
				() -> this.counts.write(List.of(new ProcessCounts("first", EARLIER)), revision));
		assertThat(this.counts.readAll()).contains(new ProcessCounts("second", LATER));
	}

}
