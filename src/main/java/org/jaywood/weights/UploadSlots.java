package org.jaywood.weights;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the concurrent uploads of a VM. A receiver that stops reading blocks its upload
 * forever, so a slot is freed after {@link #MAX_UPLOAD_NANOS} even if it was not
 * released.
 */
final class UploadSlots {

	private static final long MAX_UPLOAD_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final int maxUploads;

	private final Map<Long, Long> startedNanos = new HashMap<>();

	private long lastSlotId;

	UploadSlots(int maxUploads) {
		this.maxUploads = maxUploads;
	}

	/**
	 * Takes a slot.
	 * @return id of the slot to release, or 0 if all slots are in use
	 */
	synchronized long tryAcquire(long nowNanos) {
		this.startedNanos.values().removeIf((since) -> nowNanos - since > MAX_UPLOAD_NANOS);
		if (this.startedNanos.size() >= this.maxUploads) {
			return 0;
		}
		this.startedNanos.put(++this.lastSlotId, nowNanos);
		return this.lastSlotId;
	}

	synchronized void release(long slotId) {
		this.startedNanos.remove(slotId);
	}

}
