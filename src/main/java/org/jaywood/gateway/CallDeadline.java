package org.jaywood.gateway;

import java.util.function.LongSupplier;

/**
 * Time by which a call must have its final response: the earliest of the limits of the
 * caller, of the route and of a graceful shutdown. A shutdown may begin during the call.
 *
 * @param callerMillis boot time up to which the caller waits, {@link Long#MAX_VALUE} if
 * it has not said so
 * @param routeMillis boot time at which the time-out of the route ends
 * @param shutdownMillis boot time by which a shutdown needs the final response,
 * {@link Long#MAX_VALUE} as long as there is none
 */
record CallDeadline(long callerMillis, long routeMillis, LongSupplier shutdownMillis) {

	/**
	 * Creates the deadline of a call that no shutdown limits.
	 */
	CallDeadline(long callerMillis, long routeMillis) {
		this(callerMillis, routeMillis, () -> Long.MAX_VALUE);
	}

	/**
	 * Returns this deadline with the limit of a shutdown.
	 */
	CallDeadline withShutdown(LongSupplier millis) {
		return new CallDeadline(this.callerMillis, this.routeMillis, millis);
	}

	/**
	 * Returns the boot time of the deadline.
	 */
	long millis() {
		return Math.min(Math.min(this.callerMillis, this.routeMillis), this.shutdownMillis.getAsLong());
	}

	/**
	 * Returns the limit that sets the deadline.
	 */
	Limit limit() {
		long deadlineMillis = millis();
		if (deadlineMillis == this.callerMillis) {
			return Limit.CALLER;
		}
		return (deadlineMillis == this.routeMillis) ? Limit.ROUTE : Limit.SHUTDOWN;
	}

	/**
	 * What limits the time of a call.
	 */
	enum Limit {

		/** The caller waits no longer. */
		CALLER("caller-deadline"),

		/** The time-out of the route has passed. */
		ROUTE("route-timeout"),

		/** The process must exit. */
		SHUTDOWN("planned-stop");

		private final String reason;

		Limit(String reason) {
			this.reason = reason;
		}

		/**
		 * Returns the reason of a call that ends at this limit, for the log and the
		 * caller.
		 */
		String reason() {
			return this.reason;
		}

	}

}
