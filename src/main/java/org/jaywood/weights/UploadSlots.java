package org.jaywood.weights;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the concurrent uploads of a VM. An upload to a receiver that stops reading never
 * ends, so a slot that is not released within {@link #MAX_UPLOAD_NANOS} becomes free.
 */
final class UploadSlots {

	private static final long MAX_UPLOAD_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final int maxUploads;

	private final Map<Long, Long> startNanosBySlot = new HashMap<>();

	private long lastSlotId;

	UploadSlots(int maxUploads) {
		this.maxUploads = maxUploads;
	}

	/**
	 * Acquires a slot if one is free.
	 * @return id of the acquired slot, to be passed to {@link #release}, or 0 if all
	 * slots are in use
	 */
	synchronized long tryAcquire(long nowNanos) {
		this.startNanosBySlot.values().removeIf((since) -> nowNanos - since > MAX_UPLOAD_NANOS);
		if (this.startNanosBySlot.size() >= this.maxUploads) {
			return 0;
		}
		this.startNanosBySlot.put(++this.lastSlotId, nowNanos);
		return this.lastSlotId;
	}

	synchronized void release(long slotId) {
		this.startNanosBySlot.remove(slotId);
	}

}
