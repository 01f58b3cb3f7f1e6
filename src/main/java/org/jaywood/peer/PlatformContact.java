package org.jaywood.peer;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;

/**
 * Whether the platform answers. Logs an outage when it begins and when it ends, and not
 * for each failed try.
 */
final class PlatformContact {

	private final EventLog log;

	private volatile long lastAnswerMillis;

	private long outageSinceMillis;

	PlatformContact(EventLog log, long nowMillis) {
		this.log = log;
		this.lastAnswerMillis = nowMillis;
	}

	synchronized void onAnswer(long nowMillis) {
		this.lastAnswerMillis = nowMillis;
		if (this.outageSinceMillis != 0) {
			this.log.log(Event.PLATFORM_REACHABLE, "seconds", (nowMillis - this.outageSinceMillis) / 1000.0);
			this.outageSinceMillis = 0;
		}
	}

	synchronized void onFailure(Exception failure, long nowMillis) {
		if (this.outageSinceMillis == 0) {
			this.outageSinceMillis = nowMillis;
			this.log.log(Event.PLATFORM_UNREACHABLE, "error", String.valueOf(failure.getMessage()));
		}
	}

	synchronized boolean reachable() {
		return this.outageSinceMillis == 0;
	}

	long lastAnswerMillis() {
		return this.lastAnswerMillis;
	}

}
