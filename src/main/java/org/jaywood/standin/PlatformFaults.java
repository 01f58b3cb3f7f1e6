package org.jaywood.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.wire.Exchange;

/**
 * Outages, slowness, lost replies and rates of the platform stand-in, and its record of
 * calls.
 */
final class PlatformFaults {

	private static final double READS_PER_SECOND = 2_000;

	private static final double WRITES_PER_SECOND = 300;

	private final CallRate reads = new CallRate(READS_PER_SECOND, System.nanoTime());

	private final CallRate writes = new CallRate(WRITES_PER_SECOND, System.nanoTime());

	private final Map<String, Long> calls = new TreeMap<>();

	private boolean down;

	private long slowMillis;

	private int lostReplies;

	private String lostKind = "";

	/**
	 * Sets what a control request names and leaves the rest.
	 */
	synchronized void set(JsonNode control) {
		this.down = control.path("down").asBoolean(this.down);
		this.slowMillis = control.path("slowMillis").asLong(this.slowMillis);
		this.lostReplies = control.path("loseReplies").asInt(this.lostReplies);
		this.lostKind = control.path("loseKind").asText(this.lostKind);
		if (control.has("readsPerSecond")) {
			this.reads.set(control.path("readsPerSecond").asDouble());
		}
		if (control.has("writesPerSecond")) {
			this.writes.set(control.path("writesPerSecond").asDouble());
		}
	}

	synchronized boolean down() {
		return this.down;
	}

	/**
	 * Counts a call and applies outage, slowness and rate to it.
	 * @return whether the call is within its rate
	 */
	boolean admit(Exchange exchange, String call, boolean write) throws InterruptedException {
		long pauseMillis;
		synchronized (this) {
			this.calls.merge(call, 1L, Long::sum);
			pauseMillis = this.slowMillis;
		}
		TimeUnit.MILLISECONDS.sleep(pauseMillis);
		cutIfDown(exchange);
		if ((write ? this.writes : this.reads).take(System.nanoTime())) {
			return true;
		}
		synchronized (this) {
			this.calls.merge("refused", 1L, Long::sum);
		}
		return false;
	}

	void cutIfDown(Exchange exchange) {
		if (down()) {
			throw exchange.abort("platform is down");
		}
	}

	/**
	 * Cuts the reply to a write that took effect, if one is to be lost.
	 */
	void cutIfLost(Exchange exchange, String kind) {
		synchronized (this) {
			if (this.lostReplies == 0 || !this.lostKind.isEmpty() && !this.lostKind.equals(kind)) {
				return;
			}
			this.lostReplies--;
		}
		throw exchange.abort("reply lost");
	}

	/**
	 * Number of calls by kind; a waiting watch counts as one.
	 */
	synchronized Map<String, Long> record() {
		return new TreeMap<>(this.calls);
	}

}
