package org.jaywood.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ProcessFleetTests {

	/**
	 * Guards against a paused process that still runs for a short time, in which it
	 * answers requests that an experiment expects to hang.
	 */
	@Nested
	class Pausing {

		private static final int PAUSE_COUNT = 40;

		@Test
		void everyThreadHasStoppedWhenPauseReturns() throws Exception {
			try (ProcessFleet fleet = new ProcessFleet()) {
				String listen = fleet.address(0, 0, 1, 7000).toString();
				Process process = fleet.start("platform", "standin", "platform", "--listen", listen);
				for (int i = 0; i < PAUSE_COUNT; i++) {
					fleet.pause("platform");
					assertThat(states(process.pid())).containsExactly("T");
					fleet.resume("platform");
				}
			}
		}

		/**
		 * Returns the distinct states of the threads of a process.
		 */
		private static List<String> states(long pid) throws IOException {
			try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
				return threads.map((thread) -> read(thread.resolve("stat"))).distinct().toList();
			}
		}

		private static String read(Path stat) {
			try {
				String line = Files.readString(stat);
				return line.substring(line.lastIndexOf(')') + 2).substring(0, 1);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
