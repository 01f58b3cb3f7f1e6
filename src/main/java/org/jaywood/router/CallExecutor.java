package org.jaywood.router;

import java.io.IOException;

import org.jaywood.wire.FenceReply;

/**
 * Runs and fences calls at agents. Allows tests to replace {@link CallRelay}.
 */
interface CallExecutor {

	/**
	 * Runs a call.
	 * @param call the call
	 * @param sink takes the answer
	 * @param listener called before each attempt; if it throws, the attempt is not sent
	 * and this method throws the same exception
	 */
	CallResult run(Call call, AnswerSink sink, Listener listener) throws InterruptedException;

	/**
	 * Fences an attempt of any router: if the agent has not admitted it, the agent never
	 * will; otherwise the agent returns its state.
	 */
	FenceReply fence(CallAttempt attempt, long timeoutMillis) throws IOException, InterruptedException;

	/**
	 * Called with an attempt before its first byte is sent.
	 */
	@FunctionalInterface
	interface Listener {

		/** For calls without a claim. */
		Listener NONE = (attempt) -> {
		};

		void beforeAttempt(CallAttempt attempt);

	}

}
