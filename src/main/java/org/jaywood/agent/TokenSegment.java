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
	private static final int MIN_SEGMENT_TOKENS = 16;

	/** Bounds the memory that one segment reserves. */
	private static final int MAX_SEGMENT_TOKENS = 256;

	/** Assumed size of a frame until some were sent. */
	private static final int INITIAL_FRAME_BYTES = 64;

	private static final double SMOOTHING_FACTOR = 1.0 / 16;

	private final int maxTokens;

	private double averageFrameBytes = INITIAL_FRAME_BYTES;

	private int endIndex;

	/**
	 * Begins with the first segment.
	 * @param from index of the first token
	 * @param maxTokens tokens of the whole answer at most
	 */
	TokenSegment(int from, int maxTokens) {
		this.maxTokens = maxTokens;
		this.endIndex = firstEndIndex(from, maxTokens);
	}

	/**
	 * End of the first segment, which the initial credit covers.
	 */
	static int firstEndIndex(int from, int maxTokens) {
		return (int) Math.min(maxTokens, from + (long) CreditGrant.INITIAL_CREDIT_BYTES / INITIAL_FRAME_BYTES);
	}

	/**
	 * Takes the size of a frame sent.
	 */
	void recordFrameBytes(int bytes) {
		this.averageFrameBytes += SMOOTHING_FACTOR * (bytes - this.averageFrameBytes);
	}

	/**
	 * Credit that the shortest segment needs.
	 */
	int minCreditBytes() {
		return (int) Math.min(CreditGrant.INITIAL_CREDIT_BYTES / 2,
				Math.ceil(MIN_SEGMENT_TOKENS * this.averageFrameBytes));
	}

	/**
	 * Goes on to the next segment.
	 * @param from index of its first token
	 * @param creditBytes credit at hand
	 */
	void advance(int from, long creditBytes) {
		long tokens = Math.clamp((long) (creditBytes / this.averageFrameBytes), MIN_SEGMENT_TOKENS, MAX_SEGMENT_TOKENS);
		this.endIndex = (int) Math.min(this.maxTokens, from + tokens);
	}

	/**
	 * Index after the last token of the segment.
	 */
	int endIndex() {
		return this.endIndex;
	}

	/**
	 * Whether an engine that ends here may have more tokens of the answer.
	 * @param count tokens of the answer so far
	 */
	boolean hasMoreAfter(int count) {
		return count == this.endIndex && this.endIndex < this.maxTokens;
	}

}
