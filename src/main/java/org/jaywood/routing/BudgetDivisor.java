package org.jaywood.routing;

import java.util.OptionalInt;

/**
 * Number of gateways by which a budget of all gateways together is cut. A number that is
 * too small lets them exceed the whole, so what was told counts for a while after it
 * fell: gateways beyond a cut of the network are not counted by the agents on this side,
 * but spend their parts. After a start few gateways have found the agents, so the number
 * assumed while none is told stays the least one for a window. Not safe for use by
 * several threads.
 */
final class BudgetDivisor {

	/** Gateways that share a budget while their number is not known. */
	private static final int UNKNOWN = 24;

	/** A number counts for this long at least, twice as long at most. */
	private static final long HOLD_MILLIS = 30_000;

	private final long windowMillis;

	private long firstToldMillis = Long.MAX_VALUE;

	private long sinceMillis;

	private int highestBefore;

	private int highest;

	/**
	 * Creates a count that nothing was told to.
	 * @param windowMillis window in which the budget holds
	 */
	BudgetDivisor(long windowMillis) {
		this.windowMillis = windowMillis;
	}

	/**
	 * Works the number out.
	 * @param told number as the agents tell it, empty while none does
	 * @param last number as last known
	 */
	int count(OptionalInt told, int last, long nowMillis) {
		told.ifPresent((number) -> note(number, nowMillis));
		boolean settled = told.isPresent() && nowMillis - this.firstToldMillis >= this.windowMillis;
		int known = Math.max(this.highest, this.highestBefore);
		return settled ? known : Math.max(known, Math.max(UNKNOWN, last));
	}

	private void note(int number, long nowMillis) {
		if (this.firstToldMillis == Long.MAX_VALUE) {
			this.firstToldMillis = nowMillis;
			this.sinceMillis = nowMillis;
		}
		if (nowMillis - this.sinceMillis >= HOLD_MILLIS) {
			this.sinceMillis = nowMillis;
			this.highestBefore = this.highest;
			this.highest = 0;
		}
		this.highest = Math.max(this.highest, number);
	}

}
