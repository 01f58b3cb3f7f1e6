package org.jaywood.router;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;
import org.jaywood.wire.LoadReport;
import org.jaywood.wire.Refusal;

/**
 * State of the agents as known to this router: incarnation, last load report with its
 * age, and how long each agent is not used after refusals and failures.
 */
final class UpstreamTable {

	/** Load of an upstream that batches calls changes too fast to use older reports. */
	private static final long MAX_LOAD_REPORT_AGE_MILLIS = 2_000;

	/**
	 * A draining agent is used again after this time, since it may have restarted.
	 */
	private static final long DRAINING_BACKOFF_MILLIS = 10_000;

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	/** Keeps a router from sending calls to a full agent in a tight loop. */
	private static final long MIN_FULL_BACKOFF_MILLIS = 20;

	private static final long EJECTION_MILLIS = 500;

	/**
	 * Consecutive indeterminate calls after which an upstream is ejected. When each such
	 * call ejected it, a plain service with three upstreams that failed a fifth of its
	 * calls had no usable upstream most of the time, and two thirds of the calls were
	 * refused.
	 */
	private static final int INDETERMINATE_CALLS_TO_EJECT = 3;

	private static final int DEFAULT_MAX_IN_FLIGHT = 64;

	private final Map<Address, Entry> entries = new ConcurrentHashMap<>();

	private Entry entry(Address agent) {
		return this.entries.computeIfAbsent(agent, (key) -> new Entry());
	}

	@Nullable String incarnation(Address agent) {
		return entry(agent).incarnation;
	}

	void onIncarnation(Address agent, String incarnation) {
		Entry entry = entry(agent);
		if (!incarnation.equals(entry.incarnation)) {
			entry.incarnation = incarnation;
			entry.load = null;
			entry.unavailableUntilMillis = 0;
			entry.fullUntilMillis = 0;
			entry.outOfServiceGeneration = -1;
			entry.consecutiveIndeterminateCalls.set(0);
		}
	}

	void onLoadReport(Address agent, LoadReport load, long nowMillis) {
		Entry entry = entry(agent);
		entry.load = load;
		entry.loadReceivedMillis = nowMillis;
	}

	/**
	 * Records a refusal.
	 * @param agent the agent that refused
	 * @param refusal its refusal
	 * @param agentGeneration generation in force at the agent
	 * @param nowMillis present time
	 */
	void onRefusal(Address agent, Refusal refusal, long agentGeneration, long nowMillis) {
		Entry entry = entry(agent);
		switch (refusal.refusal()) {
			case DATA_CENTRE_OUT -> entry.outOfServiceGeneration = agentGeneration;
			case DRAINING -> entry.unavailableUntilMillis = nowMillis + DRAINING_BACKOFF_MILLIS;
			case COLD_FULL, FULL, MEMORY_FULL, NOT_READY -> entry.fullUntilMillis = nowMillis
					+ Math.clamp(refusal.retryAfterMillis(), MIN_FULL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
			case STALE_CONFIGURATION ->
				entry.unavailableUntilMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, refusal.retryAfterMillis());
			default -> {
			}
		}
	}

	void onNotSent(Address agent, long nowMillis) {
		entry(agent).unavailableUntilMillis = nowMillis + EJECTION_MILLIS;
	}

	/**
	 * Records that an attempt failed after the agent may have received it. One failure
	 * does not eject the agent: if it has stopped, it refuses the next connection.
	 */
	void onIndeterminate(Address agent, long nowMillis) {
		if (entry(agent).consecutiveIndeterminateCalls.incrementAndGet() >= INDETERMINATE_CALLS_TO_EJECT) {
			onNotSent(agent, nowMillis);
		}
	}

	void onAnswered(Address agent) {
		entry(agent).consecutiveIndeterminateCalls.set(0);
	}

	/**
	 * Whether an agent may admit a call, as far as known.
	 * @param agent the agent
	 * @param generation generation in force at this router
	 * @param nowMillis present time
	 */
	boolean mayAdmit(Address agent, long generation, long nowMillis) {
		return mayRegainCapacity(agent, generation, nowMillis) && nowMillis >= entry(agent).fullUntilMillis;
	}

	/**
	 * Whether an agent admits calls again as soon as its upstream has capacity.
	 * @param agent the agent
	 * @param generation generation in force at this router
	 * @param nowMillis present time
	 */
	boolean mayRegainCapacity(Address agent, long generation, long nowMillis) {
		Entry entry = entry(agent);
		return nowMillis >= entry.unavailableUntilMillis && generation > entry.outOfServiceGeneration;
	}

	void onAttemptStarted(Address agent) {
		entry(agent).inFlight.incrementAndGet();
	}

	void onAttemptEnded(Address agent) {
		entry(agent).inFlight.decrementAndGet();
	}

	/**
	 * Records that an admitted call ended, which frees capacity at its upstream.
	 */
	void onCapacityFreed(Address agent) {
		entry(agent).fullUntilMillis = 0;
	}

	/**
	 * Returns the used share of the upstream's concurrency limit, from its last load
	 * report unless stale and from the attempts of this router.
	 */
	double utilization(Address agent, long nowMillis) {
		Entry entry = entry(agent);
		LoadReport load = entry.load;
		int own = entry.inFlight.get();
		if (load == null || nowMillis - entry.loadReceivedMillis > MAX_LOAD_REPORT_AGE_MILLIS) {
			return own / (double) DEFAULT_MAX_IN_FLIGHT;
		}
		return Math.max(own, load.inFlight()) / (double) Math.max(1, load.limit());
	}

	private static final class Entry {

		private final AtomicInteger inFlight = new AtomicInteger();

		private final AtomicInteger consecutiveIndeterminateCalls = new AtomicInteger();

		private volatile @Nullable String incarnation;

		private volatile @Nullable LoadReport load;

		private volatile long loadReceivedMillis;

		private volatile long unavailableUntilMillis;

		private volatile long fullUntilMillis;

		private volatile long outOfServiceGeneration = -1;

	}

}
