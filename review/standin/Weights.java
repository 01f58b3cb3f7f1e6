package review;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;

/**
 * The weights of all versions of the model, at the size that the pages give.
 */
final class Weights {

	static final String MODEL = "model-a";

	static final int CHUNKS = 96;

	static final int CHUNK_BYTES = 24_576;

	static final int LAYERS = 16;

	private Weights() {
	}

	static byte[] chunk(long version, int index) {
		byte[] bytes = new byte[CHUNK_BYTES];
		new Random(version * 1_000 + index).nextBytes(bytes);
		return bytes;
	}

	static List<String> digests(long version) {
		List<String> digests = new ArrayList<>();
		for (int index = 0; index < CHUNKS; index++) {
			digests.add(HexFormat.of().formatHex(sha256(chunk(version, index))));
		}
		return digests;
	}

	private static byte[] sha256(byte[] bytes) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(bytes);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
