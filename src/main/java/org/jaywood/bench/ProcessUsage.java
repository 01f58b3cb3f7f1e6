package org.jaywood.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and resident memory of a process, read from the proc file system. Only
 * processes that an experiment started itself are read.
 *
 * @param cpuSeconds user and system processor time since the start of the process, in
 * seconds
 * @param residentBytes resident memory
 */
public record ProcessUsage(double cpuSeconds, long residentBytes) {

	/** Clock ticks a second in the proc file system on Linux. */
	private static final double TICKS_PER_SECOND = 100;

	/** Index of the user time among the fields after the command name. */
	private static final int USER_TIME_INDEX = 11;

	/**
	 * Reads the current usage of a process.
	 * @throws IOException if the process has ended
	 */
	public static ProcessUsage of(Process process) throws IOException {
		Path directory = Path.of("/proc", Long.toString(process.pid()));
		String stat = Files.readString(directory.resolve("stat"));
		// The command name in parentheses may contain blanks.
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		long ticks = Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[USER_TIME_INDEX + 1]);
		return new ProcessUsage(ticks / TICKS_PER_SECOND, residentBytes(directory));
	}

	private static long residentBytes(Path directory) throws IOException {
		return Files.readAllLines(directory.resolve("status"))
			.stream()
			.filter((line) -> line.startsWith("VmRSS:"))
			.map((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024)
			.findFirst()
			.orElse(0L);
	}

}
