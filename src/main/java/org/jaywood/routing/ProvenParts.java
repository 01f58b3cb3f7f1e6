package org.jaywood.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parts of prompts of which this gateway has lately seen answers that went on, so that
 * they do not crash engines. Holds the parts used last. Not safe for use by several
 * threads.
 */
final class ProvenParts {

	static final int MAX_PARTS = 8_192;

	private final Map<String, Long> provenMillisByPart = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_PARTS;
		}

	};

	void add(String part, long nowMillis) {
		this.provenMillisByPart.put(part, nowMillis);
	}

	/**
	 * Returns the boot time of the last answer, {@link Long#MIN_VALUE} if there is none.
	 */
	long provenMillis(String part) {
		return this.provenMillisByPart.getOrDefault(part, Long.MIN_VALUE);
	}

	boolean contains(String part, long nowMillis) {
		long provenMillis = provenMillis(part);
		return provenMillis != Long.MIN_VALUE && nowMillis - provenMillis <= CrashEvidence.PROOF_LIFETIME_MILLIS;
	}

}
