package org.jaywood.scaling;

import java.util.OptionalInt;

/**
 * Number of engines of one service that is wanted in one data centre, and what became of
 * the orders for it. Not safe for use by several threads.
 */
final class DataCentrePlan {

	/** Boot times after which an order that was not followed is repeated. */
	private static final int BOOTS_BEFORE_REPEAT = 2;

	/** Pause after an order that was not accepted. */
	private static final long FIRST_RETRY_MILLIS = 1_000;

	/** Longest pause between two equal orders. */
	private static final long MAX_PAUSE_MILLIS = 60 * 60 * 1_000;

	private long bootMillis;

	private final NeedWindow window = new NeedWindow();

	private int wanted;

	/** Number in the order that was accepted last, or at the start the present one. */
	private int ordered;

	/** Time since which the engines differ from the order. */
	private long unmetSinceMillis = Long.MAX_VALUE;

	private long repeatPauseMillis;

	private long repeatAtMillis = Long.MAX_VALUE;

	private long retryPauseMillis = FIRST_RETRY_MILLIS;

	private long retryAtMillis = Long.MIN_VALUE;

	private boolean hadEngines;

	/** Engines that served at the last record, or none before the first one. */
	private OptionalInt lastEngines = OptionalInt.empty();

	/** Time at which others last added engines. */
	private long addedMillis = Long.MIN_VALUE / 2;

	/** Time of the last order for fewer engines. */
	private long loweredMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates a plan.
	 * @param ordered engines that were ordered last, or those that run
	 * @param bootMillis time from an order until its engines serve
	 */
	DataCentrePlan(int ordered, long bootMillis) {
		this.wanted = ordered;
		this.ordered = ordered;
		this.bootMillis = bootMillis;
	}

	/**
	 * Takes in the boot time of the present configuration. Needs from before that are
	 * still kept count for it.
	 */
	void setBootMillis(long bootMillis) {
		this.bootMillis = bootMillis;
	}

	int wanted() {
		return this.wanted;
	}

	int ordered() {
		return this.ordered;
	}

	/**
	 * Records how many engines serve. Engines beyond the order that were not there before
	 * were added by others: an order that leaves them out would remove them. While an
	 * order for fewer is carried out, engines may come and go.
	 */
	void onEngines(int engines, long nowMillis) {
		boolean grown = this.lastEngines.isPresent() && engines > this.lastEngines.getAsInt();
		this.lastEngines = OptionalInt.of(engines);
		if (grown && engines > this.ordered
				&& nowMillis - this.loweredMillis >= BOOTS_BEFORE_REPEAT * this.bootMillis) {
			this.ordered = engines;
			this.wanted = Math.max(this.wanted, engines);
			this.addedMillis = nowMillis;
		}
		if (engines == this.ordered) {
			this.unmetSinceMillis = Long.MAX_VALUE;
			this.repeatAtMillis = Long.MAX_VALUE;
		}
		else if (this.unmetSinceMillis == Long.MAX_VALUE) {
			this.unmetSinceMillis = nowMillis;
			this.repeatPauseMillis = BOOTS_BEFORE_REPEAT * this.bootMillis;
			this.repeatAtMillis = nowMillis + this.repeatPauseMillis;
		}
		this.hadEngines = this.ordered > 0 && (this.hadEngines || engines > 0);
	}

	/**
	 * Whether no engine serves although some were ordered: those that served are gone, or
	 * none has come in twice the boot time.
	 */
	boolean lost(int engines, long nowMillis) {
		boolean overdue = this.unmetSinceMillis != Long.MAX_VALUE
				&& nowMillis - this.unmetSinceMillis >= BOOTS_BEFORE_REPEAT * this.bootMillis;
		return engines == 0 && this.ordered > 0 && (this.hadEngines || overdue);
	}

	/**
	 * Takes in how many engines are needed now. A need that has held for a quarter of the
	 * boot time raises the number; it falls to the highest need of two boot times, and
	 * not sooner than that after others have added engines.
	 * @param atOnce whether the need counts although it has just arisen, because engines
	 * elsewhere were lost
	 */
	void onNeed(int engines, boolean atOnce, long nowMillis) {
		long lookBackMillis = BOOTS_BEFORE_REPEAT * this.bootMillis;
		this.window.record(engines, lookBackMillis, nowMillis);
		long holdMillis = this.bootMillis / 4;
		if (atOnce) {
			this.wanted = Math.max(this.wanted, engines);
		}
		else if (this.window.covers(holdMillis, nowMillis)) {
			this.wanted = Math.max(this.wanted, this.window.min(holdMillis, nowMillis));
		}
		if (this.window.covers(lookBackMillis, nowMillis) && nowMillis - this.addedMillis >= lookBackMillis) {
			this.wanted = Math.min(this.wanted, this.window.max());
		}
	}

	/**
	 * Returns the number to order now, empty if no order is due.
	 */
	OptionalInt due(long nowMillis) {
		boolean changed = this.wanted != this.ordered;
		boolean due = nowMillis >= (changed ? this.retryAtMillis : Math.max(this.retryAtMillis, this.repeatAtMillis));
		return due ? OptionalInt.of(this.wanted) : OptionalInt.empty();
	}

	/**
	 * Records that an order was accepted.
	 */
	void onAccepted(int engines, long nowMillis) {
		this.retryPauseMillis = FIRST_RETRY_MILLIS;
		this.retryAtMillis = Long.MIN_VALUE;
		if (engines != this.ordered) {
			this.loweredMillis = (engines < this.ordered) ? nowMillis : this.loweredMillis;
			this.ordered = engines;
			this.unmetSinceMillis = nowMillis;
			this.repeatPauseMillis = BOOTS_BEFORE_REPEAT * this.bootMillis;
		}
		else {
			this.repeatPauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * this.repeatPauseMillis);
		}
		this.repeatAtMillis = nowMillis + this.repeatPauseMillis;
	}

	/**
	 * Records that an order was refused, or that it is not known whether it was accepted.
	 */
	void onFailed(long nowMillis) {
		this.retryAtMillis = nowMillis + this.retryPauseMillis;
		this.retryPauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * this.retryPauseMillis);
	}

}
