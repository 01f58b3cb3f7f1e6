package org.jaywood.agent;

import java.util.BitSet;

/**
 * Set of attempt numbers within a window of the highest ones, one bit per number. Moving
 * the window up removes the numbers that are then below it. Not thread-safe.
 */
final class AttemptWindow {

	private final int sizeAttempts;

	private final BitSet bits = new BitSet();

	private long highest;

	/**
	 * Creates an empty window that ends at 0.
	 * @param sizeAttempts number of attempt numbers in the window
	 */
	AttemptWindow(int sizeAttempts) {
		this.sizeAttempts = sizeAttempts;
	}

	/**
	 * Moves the window up.
	 * @param newHighest highest number of the window, not lower than before
	 */
	void moveTo(long newHighest) {
		long distance = newHighest - this.highest;
		if (distance >= this.sizeAttempts) {
			this.bits.clear();
		}
		else {
			// Each new number reuses the bit of the number that leaves the window.
			for (int i = 1; i <= distance; i++) {
				this.bits.clear(index(this.highest + i));
			}
		}
		this.highest = newHighest;
	}

	/**
	 * Adds a number.
	 * @throws IllegalArgumentException if the number is outside the window
	 */
	void add(long number) {
		if (!inside(number)) {
			throw new IllegalArgumentException("attempt " + number + " is outside the window of " + this.sizeAttempts
					+ " numbers that ends at " + this.highest);
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
