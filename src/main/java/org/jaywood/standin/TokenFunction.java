package org.jaywood.standin;

import org.jaywood.wire.Digests;

/**
 * The text that an engine stand-in generates: a pure function of weights, prompt and
 * index, so that a caller can compute the answer it must get.
 */
public final class TokenFunction {

	private TokenFunction() {
	}

	public static String token(String weightsDigest, String prompt, int index) {
		return Digests.sha256(weightsDigest + "\n" + prompt + "\n" + index).substring(0, 8);
	}

}
