package org.jaywood.routing;

import java.util.Objects;
import java.util.Set;

/**
 * Message: an engine ended under a call of which it had not begun an answer for certain.
 *
 * @param engine incarnation of the engine, {@link CrashEvidence#incarnation}
 * @param parts ids of the shared parts of the call's prompt that are not known to be
 * sound
 * @param ageMillis time since the end, without the time that messages were in transit
 */
public record CrashRecord(String engine, Set<String> parts, long ageMillis) {

	/**
	 * Creates a record. What a message lacks is empty.
	 */
	public CrashRecord {
		engine = Objects.requireNonNullElse(engine, "");
		parts = (parts != null) ? Set.copyOf(parts) : Set.of();
	}

}
