import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with milliseconds since its start. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void line(String format, Object... values) {
		this.out.println(millis() + " " + String.format(format, values));
	}

	/** Writes a line that is shown as well. */
	synchronized void say(String format, Object... values) {
		line(format, values);
		System.out.println(millis() + " " + String.format(format, values));
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
