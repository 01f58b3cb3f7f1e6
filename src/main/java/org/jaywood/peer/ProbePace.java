package org.jaywood.peer;

/**
 * Decides how many peers a process probes and how often. Each probe costs processor time
 * on both sides, so an idle process probes one peer per second. After a change it probes
 * two peers per round at a shorter interval for some seconds, so that lost probes do not
 * delay the propagation of the change. It also probes two peers per round after some
 * rounds without contact to a peer, so that it finds one of few reachable peers well
 * before it counts as isolated.
 */
final class ProbePace {

	private static final int STEADY_PROBES = 1;

	private static final int RAISED_PROBES = 2;

	private static final long STEADY_INTERVAL_MILLIS = 1_000;

	private static final long RAISED_INTERVAL_MILLIS = 500;

	/**
	 * A change reaches all processes at the planned size within 3 s if no probe is lost.
	 */
	static final long RAISED_DURATION_MILLIS = 3_000;

	/** A tenth of the time after which a process without contact is isolated. */
	static final long MAX_PEER_SILENCE_MILLIS = 3_000;

	private volatile long lastChangeMillis;

	/**
	 * Creates a pace that starts with raised probing, because its peers do not know the
	 * process yet.
	 */
	ProbePace(long nowMillis) {
		this.lastChangeMillis = nowMillis;
	}

	/**
	 * Records a change of the configuration or of the list of VMs.
	 */
	void onChange(long nowMillis) {
		this.lastChangeMillis = nowMillis;
	}

	/**
	 * Returns the number of peers to probe now.
	 * @param nowMillis present time
	 * @param lastPeerContactMillis time of the last contact to a peer
	 * @param leaving whether the process announces that it stops
	 */
	int probeCount(long nowMillis, long lastPeerContactMillis, boolean leaving) {
		boolean raised = leaving || recentlyChanged(nowMillis)
				|| nowMillis - lastPeerContactMillis > MAX_PEER_SILENCE_MILLIS;
		return raised ? RAISED_PROBES : STEADY_PROBES;
	}

	/**
	 * Returns the time until the next round of probes, unless a change occurs before.
	 */
	long intervalMillis(long nowMillis) {
		return recentlyChanged(nowMillis) ? RAISED_INTERVAL_MILLIS : STEADY_INTERVAL_MILLIS;
	}

	private boolean recentlyChanged(long nowMillis) {
		return nowMillis - this.lastChangeMillis < RAISED_DURATION_MILLIS;
	}

}
