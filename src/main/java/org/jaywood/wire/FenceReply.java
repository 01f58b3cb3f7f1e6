package org.jaywood.wire;

import org.jspecify.annotations.Nullable;

/**
 * Response to a {@link FenceRequest}.
 *
 * @param state state of the attempt
 * @param head status of the upstream's response, if the attempt finished and the response
 * is kept
 * @param body body of the upstream's response, if the attempt finished and the response
 * is kept
 */
public record FenceReply(State state, Frame.@Nullable Head head, byte @Nullable [] body) {

	/**
	 * State of an attempt at an agent.
	 */
	public enum State {

		/** It was not admitted and never will be. */
		NEVER_ADMITTED,

		/** It was admitted and is running. */
		RUNNING,

		/** It was admitted and the upstream responded; the response is included. */
		FINISHED,

		/** It was admitted and ended, but its response is not kept. */
		FORGOTTEN,

		/** The agent has another incarnation and has no record of the attempt. */
		OTHER_INCARNATION

	}

}
