package org.jaywood.gateway;

/**
 * Boot times of the steps of a graceful shutdown.
 *
 * @param idleCloseMillis idle connections are closed, and only calls are taken that have
 * all their time
 * @param answerDeadlineMillis each call must have its final response
 * @param exitMillis the process exits
 */
record ShutdownSchedule(long idleCloseMillis, long answerDeadlineMillis, long exitMillis) {

	/** Schedule of a process that does not shut down. */
	static final ShutdownSchedule NONE = new ShutdownSchedule(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

	/** Time in which the load balancer notices that a gateway is not ready. */
	private static final long UNREADY_NOTICE_MILLIS = 2_600;

	/** Time before the forced end at which the process exits by itself. */
	private static final long EXIT_MARGIN_MILLIS = 500;

	/** Time for writing the last responses before the process exits. */
	private static final long RESPONSE_MARGIN_MILLIS = 200;

	/**
	 * Time for answering the last callers that connect, who are refused at once.
	 */
	private static final long LAST_CALLERS_MILLIS = 300;

	/**
	 * Returns the schedule of a shutdown that begins now.
	 * @param graceMillis time until the forced end of the process
	 */
	static ShutdownSchedule begin(long nowMillis, long graceMillis) {
		long exitMillis = nowMillis + graceMillis - EXIT_MARGIN_MILLIS;
		return new ShutdownSchedule(nowMillis + UNREADY_NOTICE_MILLIS, exitMillis - RESPONSE_MARGIN_MILLIS, exitMillis);
	}

	/**
	 * Returns the boot time at which the port closes although callers still connect.
	 */
	long portCloseMillis() {
		return this.answerDeadlineMillis - LAST_CALLERS_MILLIS;
	}

	/**
	 * Whether a call that is read now can have all the time that it may take before the
	 * process exits. Callers that come before the load balancer has noticed the shutdown
	 * have nowhere else to go, so their calls are taken in any case.
	 */
	boolean hasTimeFor(Call call, long nowMillis) {
		return nowMillis < this.idleCloseMillis || call.deadlineMillis() <= this.answerDeadlineMillis;
	}

}
