package org.jaywood.gateway;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.jaywood.scaling.ServiceDemand;

/**
 * Counts the calls of this gateway by service, from which the leader decides the number
 * of engines. Thread-safe.
 */
final class DemandMeter {

	/** Reasons of refusals that more engines would have avoided. */
	private static final Set<String> CAPACITY_REASONS = Set.of("no-place", "queue-full", "rate-limited");

	/** Weight of the latest second in the mean slot time. */
	private static final double SLOT_TIME_WEIGHT = 0.2;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Map<String, Counts> countsByService = new ConcurrentHashMap<>();

	void onArrival(String service) {
		counts(service).arrived.increment();
	}

	void onEnd(String service) {
		counts(service).ended.increment();
	}

	void onRefusal(String service, String reason) {
		if (CAPACITY_REASONS.contains(reason)) {
			counts(service).refused.increment();
		}
	}

	void onAttemptBegin(String service) {
		counts(service).begun.increment();
	}

	void onAttemptEnd(String service, long millis) {
		Counts counts = counts(service);
		counts.finished.increment();
		counts.finishedMillis.add(millis);
	}

	private Counts counts(String service) {
		return this.countsByService.computeIfAbsent(service, (name) -> new Counts());
	}

	/**
	 * Returns the demand for a service since the last call of this method, without rates
	 * for the first one.
	 * @param intervalMillis time since then
	 */
	ServiceDemand take(String service, long intervalMillis) {
		return counts(service).take(service, Math.max(1, intervalMillis) / MILLIS_PER_SECOND);
	}

	/**
	 * Counts of one service since the start. Their reader is one thread.
	 */
	private static final class Counts {

		private final LongAdder arrived = new LongAdder();

		private final LongAdder ended = new LongAdder();

		private final LongAdder refused = new LongAdder();

		private final LongAdder begun = new LongAdder();

		private final LongAdder finished = new LongAdder();

		private final LongAdder finishedMillis = new LongAdder();

		private long lastArrived;

		private long lastRefused;

		private long lastFinished;

		private long lastFinishedMillis;

		private double slotMillis;

		private boolean taken;

		synchronized ServiceDemand take(String service, double seconds) {
			// Ends are read first, so that a count is never negative for long.
			long attemptsEnded = this.finished.sum();
			long attemptMillis = this.finishedMillis.sum();
			long running = Math.max(0, this.begun.sum() - attemptsEnded);
			long callsEnded = this.ended.sum();
			long callsArrived = this.arrived.sum();
			long callsRefused = this.refused.sum();
			if (attemptsEnded > this.lastFinished) {
				double latest = (double) (attemptMillis - this.lastFinishedMillis)
						/ (attemptsEnded - this.lastFinished);
				this.slotMillis = (this.slotMillis > 0)
						? this.slotMillis + SLOT_TIME_WEIGHT * (latest - this.slotMillis) : latest;
			}
			// The first counts are those since the start, not of the last interval.
			double arrivals = this.taken ? callsArrived - this.lastArrived : 0;
			double refusals = this.taken ? callsRefused - this.lastRefused : 0;
			ServiceDemand demand = new ServiceDemand(service, running, Math.max(0, callsArrived - callsEnded - running),
					arrivals / seconds, refusals / seconds, Math.max(0, this.slotMillis));
			this.taken = true;
			this.lastArrived = callsArrived;
			this.lastRefused = callsRefused;
			this.lastFinished = attemptsEnded;
			this.lastFinishedMillis = attemptMillis;
			return demand;
		}

	}

}
