package org.jaywood.router;

import org.jaywood.wire.Frame;

/**
 * Receives a verified answer for the caller.
 */
interface AnswerSink {

	/**
	 * Reserves memory for a part of the answer.
	 * @param bytes size of the part
	 * @return whether the memory is reserved; otherwise a limit is reached
	 */
	boolean tryReserve(int bytes);

	/**
	 * Receives the next token of a model's answer.
	 * @param token the token, in order and without gaps
	 */
	void token(Frame.Token token);

	/**
	 * Ends a model's answer.
	 * @param count total number of tokens
	 * @param digest digest of all token texts, computed by this router
	 * @param weights digest of the weights
	 */
	void endTokens(long count, String digest, String weights);

	/**
	 * Receives a complete answer of a plain service.
	 */
	void completeAnswer(Frame.Head head, byte[] body);

	/**
	 * Whether the caller already received a part of the answer.
	 */
	boolean started();

}
