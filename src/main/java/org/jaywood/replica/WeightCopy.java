package org.jaywood.replica;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;

/**
 * Verified pieces of one version of a model, as far as they have arrived. A piece whose
 * digest differs is never taken.
 */
final class WeightCopy {

	private final PieceList list;

	private final List<CompletableFuture<byte[]>> pieces;

	WeightCopy(PieceList list) {
		this.list = list;
		this.pieces = IntStream.range(0, list.size()).mapToObj((index) -> new CompletableFuture<byte[]>()).toList();
	}

	PieceList list() {
		return this.list;
	}

	/**
	 * Takes a piece if it is the right one.
	 * @return whether it was
	 */
	boolean offer(int index, byte[] piece) {
		if (!digest(piece).equalsIgnoreCase(this.list.digests().get(index))) {
			return false;
		}
		this.pieces.get(index).complete(piece);
		return true;
	}

	boolean has(int index) {
		return this.pieces.get(index).isDone();
	}

	/**
	 * Waits for a piece.
	 * @return the piece, or null if it does not arrive in time
	 */
	byte @Nullable [] await(int index, long millis) throws InterruptedException {
		try {
			return this.pieces.get(index).get(millis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return null;
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * A piece that has arrived.
	 */
	byte[] piece(int index) {
		return this.pieces.get(index).join();
	}

	long arrived() {
		return this.pieces.stream().filter(CompletableFuture::isDone).count();
	}

	boolean complete() {
		return arrived() == this.pieces.size();
	}

	private static String digest(byte[] piece) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(piece));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
