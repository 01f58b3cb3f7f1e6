import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;

/** Content of the weights of each version: pieces of random bytes with their digests. */
final class Weights {

	static final int PIECES = 96;

	static final int PIECE_BYTES = 24_576;

	static final int LAYERS = 16;

	private Weights() {
	}

	static byte[] piece(long version, int index) {
		byte[] bytes = new byte[PIECE_BYTES];
		new Random(version * 1_000 + index).nextBytes(bytes);
		return bytes;
	}

	static String digest(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
