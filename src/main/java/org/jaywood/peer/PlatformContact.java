package org.jaywood.peer;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;

/**
 * Tracks whether the platform responds. Logs the start and the end of an outage instead
 * of each failed call.
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
