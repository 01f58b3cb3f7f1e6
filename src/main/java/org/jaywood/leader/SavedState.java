package org.jaywood.leader;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * State of a leader task in the lease object.
 *
 * @param era era of the store in which the task handed in the value; a leader that only
 * inherits a value keeps its era
 * @param value the state
 */
public record SavedState(long era, JsonNode value) {
}
