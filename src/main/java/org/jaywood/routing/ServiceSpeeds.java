package org.jaywood.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Speeds of the engines of one service as this gateway measures them, and whether they
 * differ so much that calls have to be placed by them. Guarded by the lock of its
 * {@link Dispatcher}, except for the measurements of running attempts.
 */
final class ServiceSpeeds {

	/** Speeds are compared anew after this time; means over 3 s change little in it. */
	private static final long COMPARISON_MILLIS = 100;

	/**
	 * Factor between an engine and the median of all from which they are uneven. Equal
	 * engines differ by less, since each shows the load that it happens to have.
	 */
	private static final double UNEVEN_FACTOR = 1.4;

	/** Factor below which uneven engines are even again. */
	private static final double EVEN_FACTOR = 1.25;

	/**
	 * Time without a call after which an engine is forgotten. It counts as usual long
	 * before.
	 */
	private static final long LIFETIME_MILLIS = 60_000;

	/** Weight of the latest call in the mean time that a call takes. */
	private static final double SMOOTHING_FACTOR = 0.05;

	private static final double INITIAL_CALL_MILLIS = 1_000;

	private final UsualPace usual = new UsualPace();

	private final Map<Incarnation, EngineSpeed> speeds = new HashMap<>();

	private boolean uneven;

	private long comparedMillis = Long.MIN_VALUE / 2;

	private double callMillis = INITIAL_CALL_MILLIS;

	UsualPace usual() {
		return this.usual;
	}

	/**
	 * Returns the speed of an engine, to be measured.
	 */
	EngineSpeed of(Upstream engine) {
		return this.speeds.computeIfAbsent(Incarnation.of(engine), (key) -> new EngineSpeed());
	}

	/**
	 * Returns the factor of an engine on the usual times, 1 if it is not known.
	 */
	double slowness(Upstream engine, long nowMillis) {
		EngineSpeed speed = this.speeds.get(Incarnation.of(engine));
		return (speed != null) ? speed.slowness(nowMillis) : 1;
	}

	/**
	 * Returns the mean time in milliseconds that a call holds a slot.
	 */
	double callMillis() {
		return this.callMillis;
	}

	void onAnswered(long millis) {
		this.callMillis = Math.max(1, this.callMillis + SMOOTHING_FACTOR * (millis - this.callMillis));
	}

	/**
	 * Compares the speeds of the engines if the last comparison is too old, and forgets
	 * engines without calls.
	 */
	void refresh(long nowMillis) {
		if (isComparisonDue(nowMillis)) {
			this.uneven = uneven(nowMillis);
			this.comparedMillis = nowMillis;
			this.speeds.values().removeIf((speed) -> expired(speed, nowMillis));
		}
	}

	/**
	 * Whether the speeds of engines differ much. That all are slow at once makes none of
	 * them slower than the median.
	 */
	boolean uneven(long nowMillis) {
		return isComparisonDue(nowMillis)
				? largestDeviation(nowMillis) > Math.log(this.uneven ? EVEN_FACTOR : UNEVEN_FACTOR) : this.uneven;
	}

	private boolean isComparisonDue(long nowMillis) {
		return nowMillis - this.comparedMillis >= COMPARISON_MILLIS;
	}

	private static boolean expired(EngineSpeed speed, long nowMillis) {
		return speed.silenceMillis(nowMillis) > LIFETIME_MILLIS;
	}

	double largestDeviation(long nowMillis) {
		double[] logs = this.speeds.values()
			.stream()
			.filter((speed) -> speed.known() && !expired(speed, nowMillis))
			.mapToDouble((speed) -> speed.logSlowness(nowMillis))
			.sorted()
			.toArray();
		if (logs.length < 2) {
			return 0;
		}
		double median = (logs[(logs.length - 1) / 2] + logs[logs.length / 2]) / 2;
		return Math.max(logs[logs.length - 1] - median, median - logs[0]);
	}

	private record Incarnation(String id, long bornMillis) {

		static Incarnation of(Upstream engine) {
			return new Incarnation(engine.id(), engine.bornMillis());
		}

	}

}
