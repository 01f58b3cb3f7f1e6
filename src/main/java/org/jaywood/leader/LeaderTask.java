package org.jaywood.leader;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Task that one process runs at a time. Its state is kept in the lease object, where the
 * next leader finds it. The ticks come from a thread of the task, the other calls from
 * the thread of the election, which they must not block.
 */
public interface LeaderTask {

	/**
	 * Returns the name under which the state is kept.
	 */
	String name();

	/**
	 * Runs the task. Called at short intervals while this process is the leader.
	 * @param term term of this process
	 */
	void onTick(LeaderTerm term, long nowMillis);

	/**
	 * Called when this process becomes the leader, before the first tick of the term. If
	 * it fails, the process gives up the lease.
	 */
	default void onElected(Handover handover, long nowMillis) {
	}

	/**
	 * Returns the state that the next renewal saves, or null to keep the saved one. If it
	 * fails, the process gives up the lease.
	 */
	default @Nullable JsonNode state(long nowMillis) {
		return null;
	}

	/**
	 * Called when the store has acknowledged a state.
	 * @param state the value that {@link #state} returned
	 */
	default void onStateSaved(JsonNode state, long nowMillis) {
	}

	/**
	 * Returns the state for the operator.
	 */
	default Map<String, Object> describe(long nowMillis) {
		return Map.of();
	}

}
