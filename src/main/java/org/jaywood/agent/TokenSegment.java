package org.jaywood.agent;

import org.jaywood.wire.CreditGrant;

/**
 * Part of an answer that is asked of the engine at once. Its length follows the credit of
 * the router, so that a stream that must wait for credit holds neither a place nor memory
 * of the engine meanwhile, and memory is reserved only for the tokens of the segment.
 * With memory reserved for whole answers, slow readers that came back found none at
 * engines that were almost idle, and their answers were cut.
 */
final class TokenSegment {

	/** Each segment costs the engine a request, so shorter ones are not worth it. */
	private static final int MIN_TOKENS = 16;

	/** Bounds the memory that one segment reserves. */
	private static final int MAX_TOKENS = 256;

	/** Assumed size of a frame until some were sent. */
	private static final int FIRST_FRAME_BYTES = 64;

	private static final double SMOOTHING = 1.0 / 16;

	private final int maxTokens;

	private double frameBytes = FIRST_FRAME_BYTES;

	private int end;

	/**
	 * Begins with the first segment.
	 * @param from index of the first token
	 * @param maxTokens tokens of the whole answer at most
	 */
	TokenSegment(int from, int maxTokens) {
		this.maxTokens = maxTokens;
		this.end = firstEnd(from, maxTokens);
	}

	/**
	 * End of the first segment, which the initial credit covers.
	 */
	static int firstEnd(int from, int maxTokens) {
		return (int) Math.min(maxTokens, from + (long) CreditGrant.INITIAL_CREDIT_BYTES / FIRST_FRAME_BYTES);
	}

	/**
	 * Takes the size of a frame sent.
	 */
	void sent(int bytes) {
		this.frameBytes += SMOOTHING * (bytes - this.frameBytes);
	}

	/**
	 * Credit that the shortest segment needs.
	 */
	int neededBytes() {
		return (int) Math.min(CreditGrant.INITIAL_CREDIT_BYTES / 2, Math.ceil(MIN_TOKENS * this.frameBytes));
	}

	/**
	 * Goes on to the next segment.
	 * @param from index of its first token
	 * @param creditBytes credit at hand
	 */
	void next(int from, long creditBytes) {
		long tokens = Math.clamp((long) (creditBytes / this.frameBytes), MIN_TOKENS, MAX_TOKENS);
		this.end = (int) Math.min(this.maxTokens, from + tokens);
	}

	/**
	 * Index after the last token of the segment.
	 */
	int end() {
		return this.end;
	}

	/**
	 * Whether an engine that ends here may have more tokens of the answer.
	 * @param count tokens of the answer so far
	 */
	boolean hasMoreAfter(int count) {
		return count == this.end && this.end < this.maxTokens;
	}

}
