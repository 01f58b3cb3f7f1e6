package org.jaywood.leader;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * What a leader task gets when its process becomes the leader.
 *
 * @param term term that begins
 * @param state last state of the task in the store, or null if there is none
 * @param complete whether the state contains all that leaders had saved; false if it was
 * saved before the store was restored from a copy, or if there is none
 * @param eraSinceMillis boot time of the first response of the present era of the store;
 * what was saved before it may be missing from an incomplete state
 */
public record Handover(LeaderTerm term, @Nullable JsonNode state, boolean complete, long eraSinceMillis) {
}
