package org.jaywood.wire;

import org.jspecify.annotations.Nullable;

/**
 * Answer to a {@link FenceRequest}.
 *
 * @param state what became of the hand-over
 * @param head status of the upstream's answer if finished and kept
 * @param body body of the upstream's answer if finished and kept
 */
public record FenceReply(State state, Frame.@Nullable Head head, byte @Nullable [] body) {

	/**
	 * What became of a hand-over.
	 */
	public enum State {

		/** It was not admitted and never will be. */
		NEVER_ADMITTED,

		/** It was admitted and runs. */
		RUNNING,

		/** It was admitted and the upstream answered; the answer is given. */
		FINISHED,

		/** It was admitted and ended, but its answer is not kept. */
		FORGOTTEN,

		/** This agent is another incarnation and knows nothing of it. */
		OTHER_INCARNATION

	}

}
