package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Median times of the steps of calls to one service: from the request to the first event,
 * by the size of the prompt, and between two events. Safe for use by several threads.
 */
final class UsualPace {

	private static final double INITIAL_FIRST_MILLIS = 150;

	private static final double INITIAL_GAP_MILLIS = 50;

	/**
	 * Factor by which a sample moves a median. Speeds are compared with it, so it has to
	 * vary by less than engines of one kind do.
	 */
	private static final double STEP_FACTOR = 1.02;

	/** Calls from which a median of prompts of one size is compared with. */
	private static final int MIN_CALLS = 10;

	private final int[] callsByPromptBits = new int[Integer.SIZE + 1];

	private final @Nullable UsualDelay[] firstByPromptBits = new UsualDelay[Integer.SIZE + 1];

	private @Nullable UsualDelay first;

	private @Nullable UsualDelay gap;

	/**
	 * Records the time to a first event.
	 * @param millis time that an engine of usual speed would have taken
	 */
	synchronized void onFirst(int promptTokens, double millis) {
		this.firstByPromptBits[bits(promptTokens)] = recorded(this.firstByPromptBits[bits(promptTokens)], millis);
		this.first = recorded(this.first, millis);
		this.callsByPromptBits[bits(promptTokens)]++;
	}

	synchronized void onGap(double millis) {
		this.gap = recorded(this.gap, millis);
	}

	/**
	 * Whether the time to the first event can be compared with that of other calls whose
	 * prompts are about as long.
	 */
	synchronized boolean knowsFirst(int promptTokens) {
		return promptTokens > 0 && this.callsByPromptBits[bits(promptTokens)] >= MIN_CALLS;
	}

	/**
	 * Returns the usual time in milliseconds to the first event.
	 */
	synchronized double firstMillis(int promptTokens) {
		UsualDelay ofSize = this.firstByPromptBits[bits(promptTokens)];
		return (ofSize != null) ? ofSize.millis() : millis(this.first, INITIAL_FIRST_MILLIS);
	}

	/**
	 * Returns the usual time in milliseconds between two events.
	 */
	synchronized double gapMillis() {
		return millis(this.gap, INITIAL_GAP_MILLIS);
	}

	private static int bits(int promptTokens) {
		return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, promptTokens));
	}

	private static UsualDelay recorded(@Nullable UsualDelay delay, double millis) {
		if (delay == null) {
			return new UsualDelay(Math.max(1, millis), STEP_FACTOR);
		}
		delay.record(millis);
		return delay;
	}

	private static double millis(@Nullable UsualDelay delay, double initialMillis) {
		return (delay != null) ? delay.millis() : initialMillis;
	}

}
