package org.jaywood.standin;

import org.jaywood.wire.Digests;

/**
 * Function that gives the text of a token of an engine stand-in. It depends on weights,
 * prompt and index only, so that a caller can compute the expected answer.
 */
public final class TokenFunction {

	private TokenFunction() {
	}

	public static String token(String weightsDigest, String prompt, int index) {
		return Digests.sha256(weightsDigest + "\n" + prompt + "\n" + index).substring(0, 8);
	}

}
