package org.jaywood.gateway;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.jaywood.event.Event;

/**
 * Lines that this process logs while it is open.
 */
final class CapturedLog implements AutoCloseable {

	private final Logger logger = Logger.getLogger("org.jaywood");

	private final List<String> lines = new CopyOnWriteArrayList<>();

	private final Handler handler = new Handler() {

		@Override
		public void publish(LogRecord line) {
			CapturedLog.this.lines.add(line.getMessage());
		}

		@Override
		public void flush() {
		}

		@Override
		public void close() {
		}

	};

	CapturedLog() {
		this.logger.addHandler(this.handler);
	}

	List<String> lines() {
		return this.lines;
	}

	/**
	 * Returns the lines of an event.
	 */
	List<String> of(Event event) {
		return this.lines.stream().filter((line) -> line.contains("\"" + event.name() + "\"")).toList();
	}

	/**
	 * Whether a line says how a request ended.
	 */
	boolean explains(String requestId) {
		String id = "\"request\":\"" + requestId + "\"";
		return List
			.of(Event.CALL_ANSWERED, Event.CALL_REFUSED, Event.CALLER_GONE, Event.CALL_CUT,
					Event.CONNECTION_ENDED_UNANSWERED)
			.stream()
			.flatMap((event) -> of(event).stream())
			.anyMatch((line) -> line.contains(id));
	}

	@Override
	public void close() {
		this.logger.removeHandler(this.handler);
	}

}
