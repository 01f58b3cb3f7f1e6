package org.jaywood.agent;

/**
 * Limits the calls in flight at an engine, based on what the engine reports.
 * <p>
 * An engine can turn cold without warning, also between two of its responses and under
 * full load. Two rules bound what it then receives. First, at most
 * {@link #awaitingHeadLimit} calls (the declared cold limit) may be in flight whose
 * response head has not been read. Reading a head allows the next call to be sent: either
 * it shows that the engine was warm when it accepted the call, or it shows a cold engine
 * and resets the limit first. So a cold engine accepts at most its cold limit of calls
 * before this class detects its state. Second, after a reset the calls still in flight
 * count against the cold limit, so none is added to them. Both rules require that the
 * engine sends the head when it accepts the call, not with the first token.
 * <p>
 * Each reset starts an epoch. Only calls that were admitted in the current epoch and
 * completed raise the limit, and only after the engine has reported in this epoch that it
 * is warm. A response to a call of an earlier epoch can reset the limit but never raise
 * it. The class is not thread-safe and reads no clock; its owner synchronizes the access.
 */
final class AdaptiveConcurrencyLimit {

	/** With this increase the limit doubles within two rounds of calls. */
	private static final double INCREASE_PER_COMPLETED_CALL = 0.5;

	private static final double DECREASE_FACTOR = 0.7;

	/**
	 * A token gap of more than this many times the average shows a severe degradation.
	 */
	private static final int SEVERE_GAP_FACTOR = 20;

	/** Shorter token gaps occur on a busy machine with a warm engine. */
	private static final long MIN_SEVERE_GAP_MILLIS = 1_000;

	/**
	 * Refusals within this time are due to the same overload and decrease the limit once.
	 */
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
	 * Sets the limits that the engine declares. No call is admitted before they are set.
	 */
	void setDeclaredLimits(int declaredColdLimit, int declaredMaxConcurrency) {
		boolean firstDeclaration = this.maxConcurrency == 0;
		this.maxConcurrency = Math.max(1, declaredMaxConcurrency);
		this.coldLimit = Math.clamp(declaredColdLimit, 1, this.maxConcurrency);
		this.limit = (firstDeclaration || !this.warm) ? this.coldLimit : Math.clamp(this.limit, 1, this.maxConcurrency);
	}

	/**
	 * Applies the state that the engine reports in the head of a response or in a status.
	 * @param requestEpoch epoch in which the call or status request was sent
	 * @param reportedInstance instance that responded
	 * @param reportedWarm whether it reports that it is warm
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
	 * Resets the limit after a connection to the engine was lost, since the engine may
	 * have restarted.
	 * @param requestEpoch epoch in which the call was sent; a loss from an earlier epoch
	 * belongs to the failure that ended that epoch and is ignored
	 * @return whether the limit was reset
	 */
	boolean onConnectionLost(long requestEpoch) {
		return requestEpoch == this.epoch && reset(this.instance);
	}

	/**
	 * Resets the limit if the time between two tokens shows a severe degradation.
	 * @param requestEpoch epoch in which the call was sent
	 * @param gapMillis time between the tokens
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
	 * Raises the limit after a completed call.
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
	 * Decreases the limit after a refusal by the engine.
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
	 * Returns the number of calls that may be in flight at once.
	 */
	int limit() {
		return (int) this.limit;
	}

	/**
	 * Returns the number of calls that may be in flight before the head of their response
	 * has been read.
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
