package org.jaywood.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.stream.Collectors;

/**
 * SHA-256 digests in lower-case hexadecimal.
 */
public final class Digests {

	private Digests() {
	}

	public static MessageDigest newSha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is part of each JDK", ex);
		}
	}

	public static String sha256(byte[] bytes) {
		return hex(newSha256().digest(bytes));
	}

	public static String sha256(String text) {
		return sha256(text.getBytes(StandardCharsets.UTF_8));
	}

	public static String hex(byte[] digest) {
		return HexFormat.of().formatHex(digest);
	}

	/**
	 * Returns the digest of a set of digests, independent of their order.
	 */
	public static String ofSet(Collection<String> digests) {
		return sha256(digests.stream().sorted().collect(Collectors.joining(",")));
	}

}
