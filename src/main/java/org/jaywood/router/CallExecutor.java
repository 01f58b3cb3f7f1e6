package org.jaywood.router;

import java.io.IOException;

import org.jaywood.wire.FenceReply;

/**
 * What claims need of the path to the agents.
 */
interface CallExecutor {

	/**
	 * Runs a call.
	 * @param call the call
	 * @param sink takes the answer
	 * @param listener called before each hand-over; what it throws leaves this method and
	 * the hand-over is not made
	 */
	CallResult run(Call call, AnswerSink sink, Listener listener) throws InterruptedException;

	/**
	 * Voids a hand-over of any router if it was not admitted, and asks what became of it
	 * otherwise.
	 */
	FenceReply fence(CallAttempt attempt, long timeoutMillis) throws IOException, InterruptedException;

	/**
	 * Sees a hand-over before its first byte is sent.
	 */
	@FunctionalInterface
	interface Listener {

		/** For calls without a claim. */
		Listener NONE = (attempt) -> {
		};

		void beforeAttempt(CallAttempt attempt);

	}

}
