package org.jaywood.agent;

import org.jaywood.wire.CreditGrant;

/**
 * Part of an answer that is requested from the engine at once. Its length follows the
 * credit of the router, so that a stream that waits for credit holds neither a permit nor
 * memory of the engine, and memory is reserved only for the tokens of the segment. When
 * memory was reserved for whole answers, resumed streams of slow readers got none even at
 * almost idle engines, and their answers were cut.
 */
final class TokenSegment {

	/** Each segment costs the engine a request, so shorter ones are inefficient. */
	private static final int MIN_SEGMENT_TOKENS = 16;

	/** Bounds the memory that one segment reserves. */
	private static final int MAX_SEGMENT_TOKENS = 256;

	/** Assumed average size of a frame before any was sent. */
	private static final int INITIAL_FRAME_BYTES = 64;

	private static final double SMOOTHING_FACTOR = 1.0 / 16;

	private final int maxTokens;

	private double averageFrameBytes = INITIAL_FRAME_BYTES;

	private int endIndex;

	/**
	 * Creates the first segment.
	 * @param from index of the first token
	 * @param maxTokens maximum number of tokens of the whole answer
	 */
	TokenSegment(int from, int maxTokens) {
		this.maxTokens = maxTokens;
		this.endIndex = firstEndIndex(from, maxTokens);
	}

	/**
	 * Returns the index after the last token of the first segment, which the initial
	 * credit covers.
	 */
	static int firstEndIndex(int from, int maxTokens) {
		return (int) Math.min(maxTokens, from + (long) CreditGrant.INITIAL_CREDIT_BYTES / INITIAL_FRAME_BYTES);
	}

	/**
	 * Updates the average frame size after a frame was sent.
	 * @param bytes size of the frame
	 */
	void recordFrameBytes(int bytes) {
		this.averageFrameBytes += SMOOTHING_FACTOR * (bytes - this.averageFrameBytes);
	}

	/**
	 * Returns the credit in bytes that the shortest segment needs.
	 */
	int minCreditBytes() {
		return (int) Math.min(CreditGrant.INITIAL_CREDIT_BYTES / 2,
				Math.ceil(MIN_SEGMENT_TOKENS * this.averageFrameBytes));
	}

	/**
	 * Moves to the next segment.
	 * @param from index of its first token
	 * @param creditBytes available credit
	 */
	void advance(int from, long creditBytes) {
		long tokens = Math.clamp((long) (creditBytes / this.averageFrameBytes), MIN_SEGMENT_TOKENS, MAX_SEGMENT_TOKENS);
		this.endIndex = (int) Math.min(this.maxTokens, from + tokens);
	}

	/**
	 * Returns the index after the last token of the segment.
	 */
	int endIndex() {
		return this.endIndex;
	}

	/**
	 * Whether an engine that has ended the segment may have more tokens of the answer.
	 * @param count tokens of the answer so far
	 */
	boolean hasMoreAfter(int count) {
		return count == this.endIndex && this.endIndex < this.maxTokens;
	}

}
