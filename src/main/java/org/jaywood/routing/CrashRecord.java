package org.jaywood.routing;

import java.util.Objects;
import java.util.Set;

/**
 * Message: an engine ended under a call before its answer had gone on for a while.
 *
 * @param engine incarnation of the engine, {@link CrashEvidence#incarnation}
 * @param parts ids of the shared parts of the call's prompt that are not known to be
 * sound
 * @param begun whether the engine had begun to answer the call, so that this call is more
 * likely to be the cause than those that waited
 * @param ageMillis time since the end, without the time that messages were in transit
 */
public record CrashRecord(String engine, Set<String> parts, boolean begun, long ageMillis) {

	/**
	 * Creates a record. What a message lacks is empty.
	 */
	public CrashRecord {
		engine = Objects.requireNonNullElse(engine, "");
		parts = (parts != null) ? Set.copyOf(parts) : Set.of();
	}

}
