package org.jaywood.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Attempts of this gateway that run at one upstream. While none of them makes progress,
 * the upstream is quiet: it may be sound and go on, but what is sent to it now waits. Not
 * safe for use by several threads.
 */
final class UpstreamActivity {

	/**
	 * Factor on the silence of a single attempt, which may have a reason of its own.
	 */
	private static final int SINGLE_ATTEMPT_FACTOR = 2;

	/** Attempts that fall silent together for a reason of their upstream. */
	private static final int MIN_ATTEMPTS_TOGETHER = 2;

	/**
	 * Time for which an upstream stays quiet after its quiet attempts were ended without
	 * an answer. The next call then shows whether it goes on.
	 */
	private static final long QUIET_AFTER_END_MILLIS = 500;

	/**
	 * Longest time from the sending of an attempt to its first progress over a path that
	 * is not slow, with an engine at capacity.
	 */
	private static final long SOON_MILLIS = 1_000;

	private final List<AttemptActivity> running = new ArrayList<>();

	private long lastProgressMillis = Long.MIN_VALUE / 2;

	/** Time of placement of the latest ended attempt that had begun soon. */
	private long lastSoonPlacedMillis = Long.MIN_VALUE;

	private long quietUntilMillis = Long.MIN_VALUE;

	AttemptActivity begin(AttemptObserver observer, long nowMillis) {
		AttemptActivity attempt = new AttemptActivity(nowMillis, observer);
		this.running.add(attempt);
		return attempt;
	}

	/**
	 * Records the end of an attempt.
	 * @param outcome its result
	 * @param conditions what is known about the upstream
	 */
	void end(AttemptActivity attempt, Outcome outcome, Conditions conditions, long nowMillis) {
		boolean responded = outcome.responded();
		if (outcome == Outcome.SILENT || (!responded && quiet(conditions, nowMillis))) {
			this.quietUntilMillis = nowMillis + QUIET_AFTER_END_MILLIS;
		}
		this.running.remove(attempt);
		if (begunSoon(attempt)) {
			this.lastSoonPlacedMillis = Math.max(this.lastSoonPlacedMillis, attempt.placedMillis());
		}
		this.lastProgressMillis = Math.max(this.lastProgressMillis,
				responded ? nowMillis : attempt.lastProgressMillis());
	}

	/**
	 * Whether the attempts have made no progress for longer than is usual. Attempts that
	 * were sent only recently say nothing.
	 */
	boolean quiet(Conditions conditions, long nowMillis) {
		if (progressedAfter(nowMillis - ServicePace.MIN_SILENCE_MILLIS)) {
			return false;
		}
		if (nowMillis < this.quietUntilMillis && !progressedAfter(this.quietUntilMillis - QUIET_AFTER_END_MILLIS)) {
			return true;
		}
		boolean streamGoesOn = this.running.stream()
			.anyMatch((attempt) -> attempt.begun() && !overdue(attempt, 1, conditions, nowMillis));
		if (streamGoesOn) {
			return false;
		}
		List<AttemptActivity> overdue = this.running.stream()
			.filter((attempt) -> overdue(attempt, 1, conditions, nowMillis))
			.toList();
		return overdue.size() >= MIN_ATTEMPTS_TOGETHER || overdue.stream()
			.anyMatch(
					(attempt) -> conditions.alone() || overdue(attempt, SINGLE_ATTEMPT_FACTOR, conditions, nowMillis));
	}

	/**
	 * Whether an attempt that was placed since a time has begun soon after its sending.
	 */
	boolean begunSoonSince(long placedMillis) {
		return this.lastSoonPlacedMillis >= placedMillis || this.running.stream()
			.anyMatch((attempt) -> attempt.placedMillis() >= placedMillis && begunSoon(attempt));
	}

	private static boolean begunSoon(AttemptActivity attempt) {
		return attempt.begun() && attempt.firstDelayMillis() <= SOON_MILLIS;
	}

	/**
	 * Returns the running attempts that have not begun.
	 */
	long notBegunCount() {
		return this.running.stream().filter((attempt) -> !attempt.begun()).count();
	}

	/**
	 * Returns the sum of a value over the running attempts.
	 */
	double sum(ToDoubleFunction<AttemptActivity> value) {
		return this.running.stream().mapToDouble(value).sum();
	}

	/**
	 * Whether an attempt has made progress since a time.
	 */
	boolean progressedAfter(long sinceMillis) {
		return this.lastProgressMillis > sinceMillis
				|| this.running.stream().anyMatch((attempt) -> attempt.lastProgressMillis() > sinceMillis);
	}

	private static boolean overdue(AttemptActivity attempt, int factor, Conditions conditions, long nowMillis) {
		return attempt.silenceMillis(nowMillis) >= factor
				* conditions.pace().silenceMillis(attempt, conditions.mayQueue());
	}

	/**
	 * What is known about an upstream beside its attempts.
	 *
	 * @param pace pace of its service
	 * @param mayQueue whether a call that has not begun may wait there in a queue
	 * @param alone whether it reports no calls but one
	 */
	record Conditions(ServicePace pace, boolean mayQueue, boolean alone) {
	}

}
