package org.jaywood.weights;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the uploads of a VM. A receiver that no longer reads blocks its upload without
 * an end, so a slot counts as free again after a time.
 */
final class UploadSlots {

	private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final int limit;

	private final Map<Long, Long> startedNanos = new HashMap<>();

	private long lastTicket;

	UploadSlots(int limit) {
		this.limit = limit;
	}

	/**
	 * Takes a slot.
	 * @return a ticket to release, or 0 if all slots are taken
	 */
	synchronized long take(long nowNanos) {
		this.startedNanos.values().removeIf((since) -> nowNanos - since > STALLED_NANOS);
		if (this.startedNanos.size() >= this.limit) {
			return 0;
		}
		this.startedNanos.put(++this.lastTicket, nowNanos);
		return this.lastTicket;
	}

	synchronized void release(long ticket) {
		this.startedNanos.remove(ticket);
	}

}
