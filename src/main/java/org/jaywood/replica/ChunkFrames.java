package org.jaywood.replica;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.HexFormat;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.BadInputException;

/**
 * Frame format in which an agent streams chunks: index and length as four bytes each,
 * most significant first, then the bytes of the chunk. While no chunk is available,
 * heartbeats with an index below 0 and no bytes show the receiver that the sender is
 * alive. Sets of indexes are hexadecimal, with the lowest eight indexes in the first
 * byte.
 */
final class ChunkFrames {

	/** Maximum length of an accepted set of indexes, in hexadecimal digits. */
	private static final int MAX_INDEX_SET_DIGITS = 16 * 1024;

	private static final int HEADER_BYTES = 2 * Integer.BYTES;

	private static final LocalChunks.Chunk HEARTBEAT = new LocalChunks.Chunk(-1, new byte[0]);

	private ChunkFrames() {
	}

	static byte[] encodeHeartbeat() {
		return encode(HEARTBEAT);
	}

	static byte[] encode(LocalChunks.Chunk chunk) {
		return ByteBuffer.allocate(HEADER_BYTES + chunk.bytes().length)
			.putInt(chunk.index())
			.putInt(chunk.bytes().length)
			.put(chunk.bytes())
			.array();
	}

	/**
	 * Whether a frame is a heartbeat.
	 */
	static boolean isHeartbeat(LocalChunks.Chunk frame) {
		return frame.index() < 0;
	}

	/**
	 * Reads the next frame.
	 * @param maxChunkBytes largest accepted chunk
	 * @return the chunk or heartbeat, or null at the end of the stream
	 * @throws IOException if the stream ends within a frame or is malformed
	 */
	static LocalChunks.@Nullable Chunk read(InputStream in, int maxChunkBytes) throws IOException {
		byte[] header = in.readNBytes(HEADER_BYTES);
		if (header.length == 0) {
			return null;
		}
		if (header.length < HEADER_BYTES) {
			throw new EOFException(
					"stream ended within a frame header: " + header.length + " of " + HEADER_BYTES + " bytes");
		}
		ByteBuffer numbers = ByteBuffer.wrap(header);
		int index = numbers.getInt();
		int length = numbers.getInt();
		if (length < 0 || length > ((index < 0) ? 0 : maxChunkBytes)) {
			throw new IOException("malformed frame: index " + index + ", " + length + " bytes");
		}
		byte[] bytes = new byte[length];
		new DataInputStream(in).readFully(bytes);
		return new LocalChunks.Chunk(index, bytes);
	}

	static String encodeIndexes(BitSet indexes) {
		return HexFormat.of().formatHex(indexes.toByteArray());
	}

	/**
	 * Decodes a set of indexes.
	 * @throws BadInputException if it is malformed
	 */
	static BitSet decodeIndexes(String text) {
		if (text.length() > MAX_INDEX_SET_DIGITS) {
			throw new BadInputException(400, "too many pieces");
		}
		try {
			return BitSet.valueOf(HexFormat.of().parseHex(text));
		}
		catch (IllegalArgumentException ex) {
			throw new BadInputException(400, "not a set of pieces: " + text);
		}
	}

}
