package org.jaywood.routing;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Times at which refused callers of one service are told to come back. Each priority has
 * its own: the time until the calls ahead of it are served at the rate that the more
 * urgent ones leave, and behind the callers that were told to come back before. Designed
 * for an overload of some seconds, whose refused callers would otherwise return together,
 * the first second after a start, when no rate is known, and a time without engines. Not
 * safe for use by several threads.
 */
final class ReturnSchedule {

	/**
	 * Shortest time. A caller that returns earlier meets the same queue, since the times
	 * of its calls at engines are longer.
	 */
	private static final long MIN_MILLIS = 150;

	/** Callers come back within this share of the time that they have left. */
	private static final double HONOURED_SHARE = 1.0 / 3;

	/** Longest time for callers with much time left. */
	private static final long MAX_MILLIS = 30_000;

	/** Time over which returns are spread while no rate is known. */
	private static final long UNKNOWN_RATE_SPREAD_MILLIS = 1_000;

	/** Fractional part of the golden ratio: its multiples are spread evenly. */
	private static final double GOLDEN_RATIO = 0.618_033_988_749_895;

	private final WaitForecast forecast;

	/** Callers that were told to come back and have not yet, by priority. */
	private final Map<Integer, ScheduledReturns> returning = new HashMap<>();

	private double spread;

	ReturnSchedule(WaitForecast forecast) {
		this.forecast = forecast;
	}

	/**
	 * Returns the time in milliseconds after which a call is told to come back that is
	 * refused while no upstream runs that may take it: in the later half of the interval
	 * that callers honour. Engines need seconds to load their weights after a loss of
	 * power, so a caller that returns sooner is refused again.
	 * @param leftMillis time that its caller has left
	 */
	long unservedMillis(long leftMillis) {
		this.spread = nextSpread();
		return Math.round(laterHalfMillis(longestMillis(leftMillis), this.spread));
	}

	/**
	 * Returns the time of {@link #unservedMillis} for the next caller.
	 */
	long previewUnservedMillis(long leftMillis) {
		return Math.round(laterHalfMillis(longestMillis(leftMillis), nextSpread()));
	}

	private double nextSpread() {
		return (this.spread + GOLDEN_RATIO) % 1;
	}

	private static double longestMillis(long leftMillis) {
		return Math.clamp(HONOURED_SHARE * leftMillis, MIN_MILLIS, MAX_MILLIS);
	}

	private static double laterHalfMillis(double longestMillis, double spread) {
		return Math.max(MIN_MILLIS, longestMillis * (1 - spread / 2));
	}

	/**
	 * Returns the time in milliseconds after which a refused call is told to come back.
	 * @param moreUrgent queued calls of more urgent priorities
	 * @param queued queued calls of its own priority
	 * @param leftMillis time that its caller has left
	 */
	long retryAfterMillis(int priority, int moreUrgent, int queued, long leftMillis, long nowMillis) {
		CallerReturn next = next(this.forecast, priority, moreUrgent + queued, leftMillis, nowMillis);
		this.spread = next.spread();
		ScheduledReturns latest = next.returning();
		if (latest != null) {
			this.returning.put(priority, latest);
		}
		return Math.round(next.afterMillis());
	}

	/**
	 * Returns the time of {@link #retryAfterMillis} without scheduling a return.
	 * @param latest forecast in force
	 */
	long previewMillis(WaitForecast latest, int priority, int moreUrgent, int queued, long leftMillis, long nowMillis) {
		return Math.round(next(latest, priority, moreUrgent + queued, leftMillis, nowMillis).afterMillis());
	}

	private CallerReturn next(WaitForecast latest, int priority, int ahead, long leftMillis, long nowMillis) {
		double spread = nextSpread();
		double longestMillis = longestMillis(leftMillis);
		if (!latest.known(nowMillis)) {
			return new CallerReturn(Math.min(longestMillis, MIN_MILLIS + spread * UNKNOWN_RATE_SPREAD_MILLIS), spread,
					null);
		}
		double callMillis = 1 / latest.placedPerMilli(priority, nowMillis);
		double queueMillis = Math.max(MIN_MILLIS, ahead * callMillis);
		double aheadCalls = this.returning.getOrDefault(priority, ScheduledReturns.NONE)
			.callsAfter(callMillis, nowMillis);
		double returnMillis = Math.max(queueMillis, (aheadCalls + 1) * callMillis);
		if (returnMillis > longestMillis) {
			// Cannot be served within the interval that callers honour.
			return new CallerReturn(laterHalfMillis(longestMillis, spread), spread, null);
		}
		return new CallerReturn(returnMillis, spread, new ScheduledReturns(returnMillis / callMillis, nowMillis));
	}

	/**
	 * Return of the next refused caller.
	 *
	 * @param afterMillis time after which it is told to come back
	 * @param spread low-discrepancy value from 0 to 1 that spreads return times
	 * @param returning places that are then taken, or null if it takes none
	 */
	private record CallerReturn(double afterMillis, double spread, @Nullable ScheduledReturns returning) {
	}

	/**
	 * Places taken by callers that were told to come back. They are a number of calls
	 * rather than a time: after a burst the same number is served sooner, and later
	 * callers must not wait for the time that was told during the burst.
	 */
	private record ScheduledReturns(double calls, long asOfMillis) {

		static final ScheduledReturns NONE = new ScheduledReturns(-1, 0);

		/**
		 * Returns the places that are still taken, -1 if the next one is free now.
		 */
		double callsAfter(double callMillis, long nowMillis) {
			return Math.max(-1, this.calls - (nowMillis - this.asOfMillis) / callMillis);
		}

	}

}
