package org.jaywood.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.wire.Exchange;

/**
 * Outages, delays, lost responses and rate limits of the platform stand-in, and the
 * counts of its calls.
 */
final class PlatformFaults {

	private static final double DEFAULT_READS_PER_SECOND = 2_000;

	private static final double DEFAULT_WRITES_PER_SECOND = 300;

	private final CallRateLimiter readLimiter = new CallRateLimiter(DEFAULT_READS_PER_SECOND, System.nanoTime());

	private final CallRateLimiter writeLimiter = new CallRateLimiter(DEFAULT_WRITES_PER_SECOND, System.nanoTime());

	private final Map<String, Long> callCounts = new TreeMap<>();

	private boolean down;

	private long slowMillis;

	private int responsesToLose;

	private String lostResponseKind = "";

	/**
	 * Sets the fields that a control request contains and leaves the others.
	 */
	synchronized void update(JsonNode control) {
		this.down = control.path("down").asBoolean(this.down);
		this.slowMillis = control.path("slowMillis").asLong(this.slowMillis);
		this.responsesToLose = control.path("loseReplies").asInt(this.responsesToLose);
		this.lostResponseKind = control.path("loseKind").asText(this.lostResponseKind);
		if (control.has("readsPerSecond")) {
			this.readLimiter.setRate(control.path("readsPerSecond").asDouble());
		}
		if (control.has("writesPerSecond")) {
			this.writeLimiter.setRate(control.path("writesPerSecond").asDouble());
		}
	}

	synchronized boolean down() {
		return this.down;
	}

	/**
	 * Counts a call and applies outage, delay and rate limit to it.
	 * @return whether the call is within its rate
	 */
	boolean admit(Exchange exchange, String call, boolean write) throws InterruptedException {
		long delayMillis;
		synchronized (this) {
			this.callCounts.merge(call, 1L, Long::sum);
			delayMillis = this.slowMillis;
		}
		TimeUnit.MILLISECONDS.sleep(delayMillis);
		abortIfDown(exchange);
		if ((write ? this.writeLimiter : this.readLimiter).tryAcquire(System.nanoTime())) {
			return true;
		}
		synchronized (this) {
			this.callCounts.merge("refused", 1L, Long::sum);
		}
		return false;
	}

	void abortIfDown(Exchange exchange) {
		if (down()) {
			throw exchange.abort("platform is down");
		}
	}

	/**
	 * Aborts the connection of a write that took effect if its response is to be lost.
	 */
	void abortIfResponseLost(Exchange exchange, String kind) {
		synchronized (this) {
			if (this.responsesToLose == 0 || !this.lostResponseKind.isEmpty() && !this.lostResponseKind.equals(kind)) {
				return;
			}
			this.responsesToLose--;
		}
		throw exchange.abort("response lost");
	}

	/**
	 * Returns the number of calls by operation and kind of object; a watch counts as one
	 * call however long it waits.
	 */
	synchronized Map<String, Long> record() {
		return new TreeMap<>(this.callCounts);
	}

}
