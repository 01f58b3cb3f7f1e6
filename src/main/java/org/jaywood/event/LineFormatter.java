package org.jaywood.event;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Formats a log record as one line: the time followed by the JSON of {@link EventLog}.
 */
public final class LineFormatter extends Formatter {

	@Override
	public String format(LogRecord logRecord) {
		return Instant.ofEpochMilli(logRecord.getMillis()) + " " + logRecord.getMessage() + System.lineSeparator();
	}

	/**
	 * Sends the process log to standard error as lines of this format.
	 * @param level lowest level written
	 */
	public static void install(Level level) {
		LogManager.getLogManager().reset();
		Handler handler = new ConsoleHandler();
		handler.setFormatter(new LineFormatter());
		handler.setLevel(level);
		Logger root = Logger.getLogger("");
		root.setLevel(level);
		root.addHandler(handler);
		Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
		if (LogManager.getLogManager() instanceof DrainLogManager manager) {
			manager.keepHandlersOpen();
		}
	}

}
