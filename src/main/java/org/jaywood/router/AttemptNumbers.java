package org.jaywood.router;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Numbers the attempts of this router at each agent incarnation. A number is never used
 * twice, so an agent can tell a repeated or delayed attempt from a new one.
 */
final class AttemptNumbers {

	private final Map<String, AtomicLong> lastNumbers = new ConcurrentHashMap<>();

	long next(String agentIncarnation) {
		return this.lastNumbers.computeIfAbsent(agentIncarnation, (key) -> new AtomicLong()).incrementAndGet();
	}

}
