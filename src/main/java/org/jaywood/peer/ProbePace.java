package org.jaywood.peer;

/**
 * Decides how many peers a process probes and how often. Each exchange costs processor
 * time on both sides, so an idle process probes one peer a second. After a change it
 * probes two at once and goes on at a shorter interval for some seconds, so that lost
 * probes do not delay the spread. It also probes two at once when it has heard no peer
 * for some rounds, so that few reachable peers are found well before it counts as
 * isolated.
 */
final class ProbePace {

	private static final int STEADY_PROBES = 1;

	private static final int RAISED_PROBES = 2;

	private static final long STEADY_INTERVAL_MILLIS = 1_000;

	private static final long RAISED_INTERVAL_MILLIS = 500;

	/**
	 * Within 3 s a change reaches a fleet of the planned size if no probe is lost.
	 */
	static final long RAISED_DURATION_MILLIS = 3_000;

	/** A tenth of the time after which a process without contact is isolated. */
	static final long MAX_PEER_SILENCE_MILLIS = 3_000;

	private volatile long lastChangeMillis;

	/**
	 * Creates a pace that starts raised: the process is new to its peers.
	 */
	ProbePace(long nowMillis) {
		this.lastChangeMillis = nowMillis;
	}

	/**
	 * Notes a change of the configuration or the list of VMs.
	 */
	void onChange(long nowMillis) {
		this.lastChangeMillis = nowMillis;
	}

	/**
	 * Number of peers to probe now.
	 * @param nowMillis present time
	 * @param lastPeerContactMillis when a peer was heard last
	 * @param leaving whether the process announces that it stops
	 */
	int probeCount(long nowMillis, long lastPeerContactMillis, boolean leaving) {
		boolean raised = leaving || recentlyChanged(nowMillis)
				|| nowMillis - lastPeerContactMillis > MAX_PEER_SILENCE_MILLIS;
		return raised ? RAISED_PROBES : STEADY_PROBES;
	}

	/**
	 * Time until the next probes, if nothing changes before.
	 */
	long intervalMillis(long nowMillis) {
		return recentlyChanged(nowMillis) ? RAISED_INTERVAL_MILLIS : STEADY_INTERVAL_MILLIS;
	}

	private boolean recentlyChanged(long nowMillis) {
		return nowMillis - this.lastChangeMillis < RAISED_DURATION_MILLIS;
	}

}
