package org.jaywood.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Reads the states of the threads of a process from the proc file system. A signal stops
 * the threads one after the other.
 */
final class ProcessState {

	private static final char STOPPED = 'T';

	private ProcessState() {
	}

	/**
	 * Whether every thread of a process has been stopped by a signal.
	 * @param pid id of a live process
	 */
	static boolean allThreadsStopped(long pid) throws IOException {
		try (Stream<Path> listed = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
			List<Path> threads = listed.toList();
			return !threads.isEmpty() && threads.stream().allMatch((thread) -> threadState(thread) == STOPPED);
		}
		catch (UncheckedIOException ex) {
			throw ex.getCause();
		}
	}

	/**
	 * Returns the state letter of a thread: the field after the name. The name is in
	 * parentheses and may contain any character.
	 */
	private static char threadState(Path thread) {
		try {
			String line = Files.readString(thread.resolve("stat"));
			return line.charAt(line.lastIndexOf(')') + 2);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
