package org.jaywood.routing;

import java.util.Set;

/**
 * Parts of prompts that crash engines. If there are several, they occurred together only,
 * and it is not known which of them is the cause; a call is affected if it has all.
 *
 * @param parts ids of the parts
 * @param ends number of engines that ended under calls with them
 * @param lastEndMillis boot time of the last of these ends
 */
public record BlockedParts(Set<String> parts, int ends, long lastEndMillis) {

	/** Time in which all gateways hear of the end of an engine. */
	private static final long YOUNG_MILLIS = 3_000;

	private static final long YOUNG_RETRY_MILLIS = 2_000;

	/**
	 * Returns the time in milliseconds until the block may end. A young one may end at
	 * once, when another gateway says that the parts are sound.
	 * @param trialMillis boot time of the next trial, {@link Long#MAX_VALUE} if there is
	 * none
	 */
	long retryAfterMillis(long trialMillis, long nowMillis) {
		if (nowMillis - this.lastEndMillis < YOUNG_MILLIS) {
			return YOUNG_RETRY_MILLIS;
		}
		long endMillis = Math.min(trialMillis, this.lastEndMillis + CrashEvidence.LIFETIME_MILLIS);
		return Math.max(YOUNG_RETRY_MILLIS, endMillis - nowMillis);
	}

	/**
	 * Whether a prompt has all the parts.
	 */
	boolean affects(Set<String> promptParts) {
		return promptParts.containsAll(this.parts);
	}

}
