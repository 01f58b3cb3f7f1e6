package org.jaywood.standin;

import java.util.LinkedHashMap;
import java.util.stream.IntStream;

/**
 * Cache of prompt prefixes of an engine stand-in, limited in size. Evicts the least
 * recently used prefix first. The length of a cached prefix is a multiple of
 * {@value #STEP_CHARS} characters (a step).
 */
final class PrefixCache {

	private static final int STEP_CHARS = 64;

	private final long maxChars;

	private final LinkedHashMap<String, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedChars;

	PrefixCache(long limitChars) {
		this.maxChars = limitChars;
	}

	/**
	 * Looks up the longest prefix of a prompt that has whole steps, and adds the prefixes
	 * of up to 32 steps.
	 * @return whether the prefix was cached; never so if the prompt has no whole step or
	 * more than 32 steps
	 */
	boolean lookUpAndAdd(String prompt) {
		int steps = prompt.length() / STEP_CHARS;
		boolean cached = steps > 0 && this.prefixes.containsKey(prompt.substring(0, steps * STEP_CHARS));
		IntStream.rangeClosed(1, Math.min(steps, 32)).forEach((step) -> add(prompt.substring(0, step * STEP_CHARS)));
		return cached;
	}

	private void add(String prefix) {
		if (this.prefixes.put(prefix, true) == null) {
			this.cachedChars += prefix.length();
		}
		while (this.cachedChars > this.maxChars) {
			this.cachedChars -= this.prefixes.pollFirstEntry().getKey().length();
		}
	}

}
