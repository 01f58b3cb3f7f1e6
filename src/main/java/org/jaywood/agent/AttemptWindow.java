package org.jaywood.agent;

import java.util.BitSet;

/**
 * A set of attempt numbers among the highest ones, one bit each. Moving the window up
 * forgets the numbers that fall out of it. Not safe for use by several threads.
 */
final class AttemptWindow {

	private final int sizeAttempts;

	private final BitSet bits = new BitSet();

	private long highest;

	/**
	 * Creates an empty window that ends at 0.
	 * @param sizeAttempts numbers in the window
	 */
	AttemptWindow(int sizeAttempts) {
		this.sizeAttempts = sizeAttempts;
	}

	/**
	 * Moves the window up.
	 * @param newHighest its last number, not lower than before
	 */
	void moveTo(long newHighest) {
		long distance = newHighest - this.highest;
		if (distance >= this.sizeAttempts) {
			this.bits.clear();
		}
		else {
			// Each number takes the bit of the one that falls out.
			for (int i = 1; i <= distance; i++) {
				this.bits.clear(index(this.highest + i));
			}
		}
		this.highest = newHighest;
	}

	/**
	 * Adds a number.
	 * @throws IllegalArgumentException if it is outside the window
	 */
	void add(long number) {
		if (!inside(number)) {
			throw new IllegalArgumentException(number + " is outside the window that ends at " + this.highest);
		}
		this.bits.set(index(number));
	}

	boolean contains(long number) {
		return inside(number) && this.bits.get(index(number));
	}

	private boolean inside(long number) {
		return number > this.highest - this.sizeAttempts && number <= this.highest;
	}

	private int index(long number) {
		return (int) Math.floorMod(number, this.sizeAttempts);
	}

}
