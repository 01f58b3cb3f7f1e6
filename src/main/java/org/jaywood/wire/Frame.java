package org.jaywood.wire;

import org.jspecify.annotations.Nullable;

/**
 * Element of the response stream from agent to router, one JSON object per line. Exactly
 * one component is set.
 *
 * @param head first frame
 * @param token token of a model's answer
 * @param data part of the body of a plain service's answer
 * @param end end marker; a stream without it is incomplete
 */
public record Frame(@Nullable Head head, @Nullable Token token, byte @Nullable [] data, @Nullable End end) {

	public static Frame head(int status, String contentType, String weights) {
		return new Frame(new Head(status, contentType, weights), null, null, null);
	}

	public static Frame token(int index, String text) {
		return new Frame(null, new Token(index, text), null, null);
	}

	public static Frame data(byte[] data) {
		return new Frame(null, null, data, null);
	}

	public static Frame end(long count, String digest) {
		return new Frame(null, null, null, new End(count, digest));
	}

	/**
	 * Status and media type of the upstream's response and the digest of its weights.
	 */
	public record Head(int status, String contentType, String weights) {
	}

	/**
	 * Token of an answer.
	 */
	public record Token(int index, String text) {
	}

	/**
	 * End marker.
	 *
	 * @param count tokens or bytes of the complete answer
	 * @param digest SHA-256 of the tokens' texts or of the body
	 */
	public record End(long count, String digest) {
	}

}
