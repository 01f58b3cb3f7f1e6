package org.jaywood.routing;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Limit that an upstream names in its responses, on the calls of all gateways together.
 * Each gateway keeps its share by itself and spaces its calls evenly, so that the sum
 * stays within the limit whoever has calls.
 *
 * @param callsPerSecond calls a second, 0 or more
 * @param sinceMillis time at which this gateway learned that there is a limit
 * @param seenMillis time of arrival of the newest response that named it
 */
record NamedLimit(double callsPerSecond, long sinceMillis, long seenMillis) {

	/**
	 * Least rate of calls of all gateways together, with which they see the end of a
	 * limit of 0.
	 */
	private static final double MIN_CALLS_PER_SECOND = 0.25;

	/** Rate of one gateway from which it may send two calls together. */
	private static final double PAIR_CALLS_PER_SECOND = 8;

	/**
	 * Window in which calls that were sent before the limit was known count towards it.
	 */
	private static final long WINDOW_MILLIS = 4_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Returns the limit after another response that names one. The order in which an
	 * upstream sent two responses is known only if the call of one was sent after the
	 * other one arrived; otherwise the stricter value counts.
	 * @param known limit before, or null if none was known
	 * @param placedMillis time at which the call of the response was sent
	 */
	static NamedLimit after(@Nullable NamedLimit known, double callsPerSecond, long placedMillis, long nowMillis) {
		if (known == null) {
			return new NamedLimit(callsPerSecond, nowMillis, nowMillis);
		}
		double latest = known.isOlderThanCallSentAt(placedMillis) ? callsPerSecond
				: Math.min(callsPerSecond, known.callsPerSecond);
		return new NamedLimit(latest, known.sinceMillis, nowMillis);
	}

	/**
	 * Whether the response to a call that was sent at a time is newer than those that
	 * named this limit.
	 */
	boolean isOlderThanCallSentAt(long placedMillis) {
		return placedMillis >= this.seenMillis;
	}

	/**
	 * Returns the windows in which this gateway sends no more than its share.
	 * @param gatewayShare share of the limit that this gateway has
	 */
	List<SendWindow> windows(double gatewayShare) {
		double ownPerSecond = ownPerSecond(gatewayShare);
		int together = (ownPerSecond >= PAIR_CALLS_PER_SECOND) ? 2 : 1;
		return List.of(
				new SendWindow(Math.round(together * MILLIS_PER_SECOND / ownPerSecond), together, this.sinceMillis),
				new SendWindow(WINDOW_MILLIS,
						Math.max(1, (int) Math.ceil(ownPerSecond * WINDOW_MILLIS / MILLIS_PER_SECOND))));
	}

	/**
	 * Returns the time before which this gateway sends no call. Gateways that learn of a
	 * limit together begin one after the other, and those that have less than a call in a
	 * window begin after the calls that they sent before.
	 * @param phase number from 0 to 1 that differs from gateway to gateway
	 */
	long firstCallMillis(double gatewayShare, double phase) {
		double intervalMillis = MILLIS_PER_SECOND / ownPerSecond(gatewayShare);
		long settlingMillis = (intervalMillis > WINDOW_MILLIS) ? WINDOW_MILLIS : 0;
		return this.sinceMillis + settlingMillis + Math.round(phase * intervalMillis);
	}

	private double ownPerSecond(double gatewayShare) {
		return Math.max(MIN_CALLS_PER_SECOND, this.callsPerSecond) * gatewayShare;
	}

}
