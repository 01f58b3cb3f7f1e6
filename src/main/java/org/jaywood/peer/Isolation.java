package org.jaywood.peer;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;

/**
 * Decides when a process has heard neither the platform nor any peer for so long that its
 * configuration may be outdated without its knowledge.
 */
final class Isolation {

	private final long limitMillis;

	private final PlatformContact platform;

	private final EventLog log;

	private volatile long lastPeerMillis;

	private long reportedSinceMillis;

	Isolation(long limitMillis, PlatformContact platform, EventLog log, long nowMillis) {
		this.limitMillis = limitMillis;
		this.platform = platform;
		this.log = log;
		this.lastPeerMillis = nowMillis;
	}

	void heardPeer(long nowMillis) {
		this.lastPeerMillis = nowMillis;
	}

	long lastPeerMillis() {
		return this.lastPeerMillis;
	}

	long lastContactMillis() {
		return Math.max(this.lastPeerMillis, this.platform.lastAnswerMillis());
	}

	boolean isolated(long nowMillis) {
		return nowMillis - lastContactMillis() > this.limitMillis;
	}

	/**
	 * Logs when the process becomes isolated and when that ends.
	 */
	synchronized void report(long nowMillis) {
		boolean isolated = isolated(nowMillis);
		if (isolated && this.reportedSinceMillis == 0) {
			this.reportedSinceMillis = lastContactMillis();
			this.log.log(Event.ISOLATED, "seconds", (nowMillis - this.reportedSinceMillis) / 1000);
		}
		else if (!isolated && this.reportedSinceMillis != 0) {
			this.log.log(Event.CONTACT_REGAINED, "seconds", (nowMillis - this.reportedSinceMillis) / 1000);
			this.reportedSinceMillis = 0;
		}
	}

}
