package org.jaywood.peer;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;

/**
 * Decides when a process counts as isolated: it has had no contact with the platform or
 * any peer for so long that its configuration may be outdated.
 */
final class Isolation {

	private final long maxSilenceMillis;

	private final PlatformContact platform;

	private final EventLog log;

	private volatile long lastPeerContactMillis;

	private long isolationStartMillis;

	Isolation(long maxSilenceMillis, PlatformContact platform, EventLog log, long nowMillis) {
		this.maxSilenceMillis = maxSilenceMillis;
		this.platform = platform;
		this.log = log;
		this.lastPeerContactMillis = nowMillis;
	}

	void onPeerContact(long nowMillis) {
		this.lastPeerContactMillis = nowMillis;
	}

	long lastPeerContactMillis() {
		return this.lastPeerContactMillis;
	}

	long lastContactMillis() {
		return Math.max(this.lastPeerContactMillis, this.platform.lastAnswerMillis());
	}

	boolean isolated(long nowMillis) {
		return nowMillis - lastContactMillis() > this.maxSilenceMillis;
	}

	/**
	 * Logs when the process becomes isolated and when it regains contact.
	 */
	synchronized void logTransitions(long nowMillis) {
		boolean isolated = isolated(nowMillis);
		if (isolated && this.isolationStartMillis == 0) {
			this.isolationStartMillis = lastContactMillis();
			this.log.log(Event.ISOLATED, "seconds", (nowMillis - this.isolationStartMillis) / 1000);
		}
		else if (!isolated && this.isolationStartMillis != 0) {
			this.log.log(Event.CONTACT_REGAINED, "seconds", (nowMillis - this.isolationStartMillis) / 1000);
			this.isolationStartMillis = 0;
		}
	}

}
