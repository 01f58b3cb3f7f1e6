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
 * The format in which an agent sends pieces of weights one after the other: index and
 * length as four bytes each, most significant first, then the bytes of the piece. While
 * no piece is there, heartbeats of an index below 0 and no bytes tell the receiver that
 * the sender is alive. Sets of indexes are hexadecimal, the lowest eight indexes in the
 * first byte.
 */
final class ChunkFrames {

	/** Largest piece that is accepted. */
	private static final int MAX_CHUNK_BYTES = 16 * 1024 * 1024;

	/** Largest set of indexes that is accepted, as hexadecimal digits. */
	private static final int MAX_INDEX_SET_DIGITS = 16 * 1024;

	private static final int HEADER_BYTES = 2 * Integer.BYTES;

	private static final LocalChunks.Chunk HEARTBEAT = new LocalChunks.Chunk(-1, new byte[0]);

	private ChunkFrames() {
	}

	static byte[] encodeHeartbeat() {
		return encode(HEARTBEAT);
	}

	static byte[] encode(LocalChunks.Chunk piece) {
		return ByteBuffer.allocate(HEADER_BYTES + piece.bytes().length)
			.putInt(piece.index())
			.putInt(piece.bytes().length)
			.put(piece.bytes())
			.array();
	}

	/**
	 * Whether a frame only tells that the sender is alive.
	 */
	static boolean isHeartbeat(LocalChunks.Chunk frame) {
		return frame.index() < 0;
	}

	/**
	 * Reads the next frame.
	 * @return the piece or heartbeat, or null at the end of the stream
	 * @throws IOException if the stream ends within a piece or is malformed
	 */
	static LocalChunks.@Nullable Chunk read(InputStream in) throws IOException {
		byte[] head = in.readNBytes(HEADER_BYTES);
		if (head.length == 0) {
			return null;
		}
		if (head.length < HEADER_BYTES) {
			throw new EOFException("the stream ends within the head of a piece");
		}
		ByteBuffer numbers = ByteBuffer.wrap(head);
		int index = numbers.getInt();
		int length = numbers.getInt();
		if (length < 0 || length > ((index < 0) ? 0 : MAX_CHUNK_BYTES)) {
			throw new IOException("malformed piece: index " + index + ", " + length + " bytes");
		}
		byte[] bytes = new byte[length];
		new DataInputStream(in).readFully(bytes);
		return new LocalChunks.Chunk(index, bytes);
	}

	static String encodeIndexes(BitSet indexes) {
		return HexFormat.of().formatHex(indexes.toByteArray());
	}

	/**
	 * Reads a set of indexes.
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
