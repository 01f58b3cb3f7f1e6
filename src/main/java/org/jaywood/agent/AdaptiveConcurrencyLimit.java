package org.jaywood.agent;

/**
 * Number of calls that an engine may hold at once, taken from what the engine reports.
 * <p>
 * An engine turns cold without warning, possibly between two of its replies and under
 * full load. Two rules bound what a cold engine then receives. First, at most
 * {@link #awaitingHeadLimit} calls (the declared cold limit) may have been sent without
 * the head of their reply being read. A slot is given back by a head that shows the
 * engine warm when it accepted the call, or by one that shows it cold, which resets the
 * limit before the slot can be used again. So the engine accepts at most its cold limit
 * of calls while cold before this class knows. Second, after a reset the calls still in
 * flight count against the cold limit, so none is added to them. The rules need an engine
 * that sends the head when it accepts the call, not with the first token.
 * <p>
 * Each reset starts an epoch. Only work that was admitted in the present epoch and
 * completed raises the limit, and only after the engine said in this epoch that it is
 * warm. A reply to a call of an earlier epoch can reset the limit but never lift it. This
 * class holds no clock and no lock; its owner guards it.
 */
final class AdaptiveConcurrencyLimit {

	/** Rise for each completed call: the limit doubles within two rounds of calls. */
	private static final double INCREASE_PER_COMPLETED_CALL = 0.5;

	private static final double DECREASE_FACTOR = 0.7;

	/** A gap this many times the usual one is a severe degradation. */
	private static final int SEVERE_GAP_FACTOR = 20;

	/** Shorter gaps occur on a busy machine with a warm engine. */
	private static final long MIN_SEVERE_GAP_MILLIS = 1_000;

	/** Decreases that follow one another faster answer to the same overload. */
	private static final long MIN_DECREASE_INTERVAL_MILLIS = 100;

	private static final double GAP_SMOOTHING_FACTOR = 0.1;

	private String instance = "";

	private boolean warm;

	private long epoch;

	private double limit;

	private int coldLimit;

	private int maxConcurrency;

	private double averageGapMillis;

	private long lastDecreaseMillis = Long.MIN_VALUE / 2;

	/**
	 * Takes the limits that the engine declares. Nothing is admitted before.
	 */
	void setDeclaredLimits(int declaredColdLimit, int declaredMaxConcurrency) {
		boolean firstDeclaration = this.maxConcurrency == 0;
		this.maxConcurrency = Math.max(1, declaredMaxConcurrency);
		this.coldLimit = Math.clamp(declaredColdLimit, 1, this.maxConcurrency);
		this.limit = (firstDeclaration || !this.warm) ? this.coldLimit : Math.clamp(this.limit, 1, this.maxConcurrency);
	}

	/**
	 * Takes what the engine says in a reply.
	 * @param requestEpoch epoch in which the call or status request was sent
	 * @param reportedInstance instance that replied
	 * @param reportedWarm whether it says that it is warm
	 * @return whether the limit was reset
	 */
	boolean onReportedState(long requestEpoch, String reportedInstance, boolean reportedWarm) {
		boolean sameEpoch = requestEpoch == this.epoch;
		if (!reportedWarm) {
			return (this.warm || (sameEpoch && !reportedInstance.equals(this.instance))) && reset(reportedInstance);
		}
		if (!sameEpoch) {
			return false;
		}
		if (!reportedInstance.equals(this.instance)) {
			boolean instanceKnown = !this.instance.isEmpty();
			reset(reportedInstance);
			return instanceKnown;
		}
		this.warm = true;
		return false;
	}

	/**
	 * Takes the loss of a connection to the engine, which may have restarted.
	 * @param requestEpoch epoch in which the lost call was sent; a loss of an earlier
	 * epoch is part of the failure that ended it
	 */
	boolean onConnectionLost(long requestEpoch) {
		return requestEpoch == this.epoch && reset(this.instance);
	}

	/**
	 * Takes the time between two tokens of a call.
	 * @param requestEpoch epoch in which the call was sent
	 * @param gapMillis the time
	 * @return whether the limit was reset
	 */
	boolean onTokenGap(long requestEpoch, long gapMillis) {
		if (requestEpoch != this.epoch || !this.warm) {
			return false;
		}
		if (this.averageGapMillis > 0
				&& gapMillis > Math.max(MIN_SEVERE_GAP_MILLIS, SEVERE_GAP_FACTOR * this.averageGapMillis)) {
			return reset(this.instance);
		}
		return false;
	}

	/**
	 * Takes a call that the engine completed.
	 * @param requestEpoch epoch in which the call was sent
	 * @param meanGapMillis mean time between its tokens
	 */
	void onCompleted(long requestEpoch, double meanGapMillis) {
		this.averageGapMillis += GAP_SMOOTHING_FACTOR * (meanGapMillis - this.averageGapMillis);
		if (requestEpoch == this.epoch && this.warm) {
			this.limit = Math.min(this.limit + INCREASE_PER_COMPLETED_CALL, this.maxConcurrency);
		}
	}

	/**
	 * Takes a refusal by the engine.
	 */
	void onRefused(long nowMillis) {
		if (this.warm && nowMillis - this.lastDecreaseMillis >= MIN_DECREASE_INTERVAL_MILLIS) {
			this.lastDecreaseMillis = nowMillis;
			this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
		}
	}

	private boolean reset(String newInstance) {
		this.instance = newInstance;
		this.warm = false;
		this.epoch++;
		this.limit = this.coldLimit;
		return true;
	}

	/**
	 * Calls that may be in flight at once.
	 */
	int limit() {
		return (int) this.limit;
	}

	/**
	 * Calls that may be sent without the head of their reply being read.
	 */
	int awaitingHeadLimit() {
		return this.coldLimit;
	}

	boolean cold() {
		return !this.warm;
	}

	long epoch() {
		return this.epoch;
	}

	String instance() {
		return this.instance;
	}

}
