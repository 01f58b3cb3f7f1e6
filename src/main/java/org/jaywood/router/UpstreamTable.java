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

	private final Map<Address, AgentState> states = new ConcurrentHashMap<>();

	private AgentState stateOf(Address agent) {
		return this.states.computeIfAbsent(agent, (key) -> new AgentState());
	}

	@Nullable String incarnation(Address agent) {
		return stateOf(agent).incarnation;
	}

	void onIncarnation(Address agent, String incarnation) {
		AgentState state = stateOf(agent);
		if (!incarnation.equals(state.incarnation)) {
			state.incarnation = incarnation;
			state.load = null;
			state.unavailableUntilMillis = 0;
			state.fullUntilMillis = 0;
			state.outOfServiceGeneration = -1;
			state.consecutiveIndeterminateCalls.set(0);
		}
	}

	void onLoadReport(Address agent, LoadReport load, long nowMillis) {
		AgentState state = stateOf(agent);
		state.load = load;
		state.loadReceivedMillis = nowMillis;
	}

	/**
	 * Records a refusal.
	 * @param agent the agent that refused
	 * @param refusal its refusal
	 * @param agentGeneration generation in force at the agent
	 * @param nowMillis present time
	 */
	void onRefusal(Address agent, Refusal refusal, long agentGeneration, long nowMillis) {
		AgentState state = stateOf(agent);
		switch (refusal.refusal()) {
			case DATA_CENTRE_OUT -> state.outOfServiceGeneration = agentGeneration;
			case DRAINING -> state.unavailableUntilMillis = nowMillis + DRAINING_BACKOFF_MILLIS;
			case COLD_FULL, FULL, MEMORY_FULL, NOT_READY -> state.fullUntilMillis = nowMillis
					+ Math.clamp(refusal.retryAfterMillis(), MIN_FULL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
			case STALE_CONFIGURATION ->
				state.unavailableUntilMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, refusal.retryAfterMillis());
			default -> {
			}
		}
	}

	void onNotSent(Address agent, long nowMillis) {
		stateOf(agent).unavailableUntilMillis = nowMillis + EJECTION_MILLIS;
	}

	/**
	 * Records that an attempt failed after the agent may have received it. One failure
	 * does not eject the agent: if it has stopped, it refuses the next connection.
	 */
	void onIndeterminate(Address agent, long nowMillis) {
		if (stateOf(agent).consecutiveIndeterminateCalls.incrementAndGet() >= INDETERMINATE_CALLS_TO_EJECT) {
			onNotSent(agent, nowMillis);
		}
	}

	void onAnswered(Address agent) {
		stateOf(agent).consecutiveIndeterminateCalls.set(0);
	}

	/**
	 * Whether an agent may admit a call, as far as known.
	 * @param agent the agent
	 * @param generation generation in force at this router
	 * @param nowMillis present time
	 */
	boolean mayAdmit(Address agent, long generation, long nowMillis) {
		return mayRegainCapacity(agent, generation, nowMillis) && nowMillis >= stateOf(agent).fullUntilMillis;
	}

	/**
	 * Whether an agent admits calls again as soon as its upstream has capacity.
	 * @param agent the agent
	 * @param generation generation in force at this router
	 * @param nowMillis present time
	 */
	boolean mayRegainCapacity(Address agent, long generation, long nowMillis) {
		AgentState state = stateOf(agent);
		return nowMillis >= state.unavailableUntilMillis && generation > state.outOfServiceGeneration;
	}

	void onAttemptStarted(Address agent) {
		stateOf(agent).inFlight.incrementAndGet();
	}

	void onAttemptEnded(Address agent) {
		stateOf(agent).inFlight.decrementAndGet();
	}

	/**
	 * Records that an admitted call ended, which frees capacity at its upstream.
	 */
	void onCapacityFreed(Address agent) {
		stateOf(agent).fullUntilMillis = 0;
	}

	/**
	 * Returns the used share of the upstream's concurrency limit, from its last load
	 * report unless stale and from the attempts of this router.
	 */
	double utilization(Address agent, long nowMillis) {
		AgentState state = stateOf(agent);
		LoadReport load = state.load;
		int ownInFlight = state.inFlight.get();
		if (load == null || nowMillis - state.loadReceivedMillis > MAX_LOAD_REPORT_AGE_MILLIS) {
			return ownInFlight / (double) DEFAULT_MAX_IN_FLIGHT;
		}
		return Math.max(ownInFlight, load.inFlight()) / (double) Math.max(1, load.limit());
	}

	private static final class AgentState {

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
