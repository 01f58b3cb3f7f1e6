package org.jaywood.routing;

import java.util.TreeMap;

/**
 * Times at which refused callers of one service are told to come back. Each priority has
 * its own: the time until the calls ahead of it are served at the rate that the more
 * urgent ones leave, and behind the callers that were told to come back before. Answers
 * an overload of some seconds, whose refused callers would otherwise return together, and
 * the first second after a start, when no rate is known. Not safe for use by several
 * threads.
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

	/** Time of the latest return by priority. */
	private final TreeMap<Integer, Double> lastReturnMillis = new TreeMap<>();

	private double spread;

	ReturnSchedule(WaitForecast forecast) {
		this.forecast = forecast;
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
		if (next.scheduled()) {
			this.lastReturnMillis.put(priority, next.atMillis());
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
		double nextSpread = (this.spread + GOLDEN_RATIO) % 1;
		double longestMillis = Math.clamp(HONOURED_SHARE * leftMillis, MIN_MILLIS, MAX_MILLIS);
		if (!latest.known(nowMillis)) {
			return new CallerReturn(Math.min(longestMillis, MIN_MILLIS + nextSpread * UNKNOWN_RATE_SPREAD_MILLIS), 0,
					nextSpread, false);
		}
		double callMillis = 1 / latest.placedPerMilli(priority, nowMillis);
		double roomMillis = nowMillis + Math.max(MIN_MILLIS, ahead * callMillis);
		double previousMillis = this.lastReturnMillis.getOrDefault(priority, 0.0);
		double returnMillis = Math.max(roomMillis, previousMillis + callMillis);
		if (returnMillis - nowMillis > longestMillis) {
			// No room in time: such callers are spread over the later half.
			return new CallerReturn(Math.max(MIN_MILLIS, longestMillis * (1 - nextSpread / 2)), 0, nextSpread, false);
		}
		return new CallerReturn(returnMillis - nowMillis, returnMillis, nextSpread, true);
	}

	/**
	 * Return of the next refused caller.
	 *
	 * @param afterMillis time after which it is told to come back
	 * @param atMillis time at which it then comes, if it is scheduled
	 * @param spread number from 0 to 1 by which it is told apart from the one before
	 * @param scheduled whether later ones come back behind it
	 */
	private record CallerReturn(double afterMillis, double atMillis, double spread, boolean scheduled) {
	}

}
