package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * The record of one run: what was sent, answered and run, with the time since its start.
 */
final class Trace implements AutoCloseable {

	private static final double NANOS_PER_SECOND = 1e9;

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Trace(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file), false);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the seconds since the start of the run.
	 */
	double nowSeconds() {
		return (System.nanoTime() - this.startNanos) / NANOS_PER_SECOND;
	}

	synchronized void log(String format, Object... arguments) {
		this.out.printf(Locale.ROOT, "%8.3f %s%n", nowSeconds(), String.format(Locale.ROOT, format, arguments));
	}

	/**
	 * Logs a line and prints it.
	 */
	void say(String format, Object... arguments) {
		log(format, arguments);
		System.out.printf(Locale.ROOT, "%8.3f %s%n", nowSeconds(), String.format(Locale.ROOT, format, arguments));
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
