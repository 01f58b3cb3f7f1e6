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

	/**
	 * Returns the time in milliseconds until the block may end.
	 */
	public long retryAfterMillis(long nowMillis) {
		return Math.max(0, this.lastEndMillis + CrashEvidence.LIFETIME_MILLIS - nowMillis);
	}

	/**
	 * Whether a prompt has all the parts.
	 */
	boolean affects(Set<String> promptParts) {
		return promptParts.containsAll(this.parts);
	}

}
