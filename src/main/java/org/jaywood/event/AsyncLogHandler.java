package org.jaywood.event;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines to standard output on a separate thread. Callers never wait: while the
 * queue is full, lines are dropped and counted, and the count is written once the queue
 * has space.
 */
public final class AsyncLogHandler extends Handler {

	private static final int QUEUE_LINES = 4_000;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final FileOutputStream out = new FileOutputStream(FileDescriptor.out);

	/**
	 * Sends the process log to standard output.
	 */
	public static void install() {
		AsyncLogHandler handler = new AsyncLogHandler();
		handler.setFormatter(new LineFormatter());
		Logger root = Logger.getLogger("");
		Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
		root.addHandler(handler);
		Thread.ofPlatform().daemon().name("log").start(handler::run);
		if (LogManager.getLogManager() instanceof DrainLogManager manager) {
			manager.keepHandlersOpen();
		}
	}

	@Override
	public void publish(LogRecord logRecord) {
		if (!isLoggable(logRecord)) {
			return;
		}
		if (!this.lines.offer(getFormatter().format(logRecord))) {
			this.dropped.incrementAndGet();
		}
	}

	@Override
	public void flush() {
		// The thread of this handler writes each line as soon as it can.
	}

	@Override
	public void close() {
		// Lines of a graceful shutdown are written until the process ends.
	}

	private void run() {
		try {
			while (true) {
				writeNext();
			}
		}
		catch (InterruptedException | IOException ex) {
			// Standard output is gone, so the failure cannot be reported.
			this.dropped.incrementAndGet();
		}
	}

	private void writeNext() throws InterruptedException, IOException {
		String first = this.lines.take();
		List<String> batch = new ArrayList<>(List.of(first));
		this.lines.drainTo(batch);
		this.out.write(String.join("", batch).getBytes(StandardCharsets.UTF_8));
		long lost = this.dropped.getAndSet(0);
		if (lost > 0) {
			new EventLog("log").log(Event.LOG_LINES_DROPPED, "count", lost);
		}
	}

}
