package org.jaywood.router;

import org.jaywood.wire.Frame;

/**
 * Takes a checked answer for the caller.
 */
interface AnswerSink {

	/**
	 * Makes room for a part of the answer.
	 * @param bytes size of the part
	 * @return whether the router may hold it for this caller
	 */
	boolean tryReserve(int bytes);

	/**
	 * Takes the next token of a model's answer.
	 * @param token the token, in order and without gaps
	 */
	void token(Frame.Token token);

	/**
	 * Ends a model's answer.
	 * @param count tokens in all
	 * @param digest digest of all texts, computed here
	 * @param weights digest of the weights
	 */
	void endTokens(long count, String digest, String weights);

	/**
	 * Takes a whole answer of a plain service.
	 */
	void wholeAnswer(Frame.Head head, byte[] body);

	/**
	 * Whether the caller already received a part of the answer.
	 */
	boolean started();

}
