package org.jaywood.standin;

import java.util.LinkedHashMap;
import java.util.stream.IntStream;

/**
 * Prompt prefixes that an engine stand-in holds in limited memory. The least recently
 * used go first. Prefixes are cached in steps of {@value #STEP_CHARS} characters.
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
	 * Looks up the longest whole step of a prompt and adds all of its steps.
	 * @return whether it was cached; a prompt shorter than a step never is
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
