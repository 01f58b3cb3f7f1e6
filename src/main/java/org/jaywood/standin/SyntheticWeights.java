package org.jaywood.standin;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.jaywood.weights.Manifest;
import org.jaywood.wire.Digests;

/**
 * Weights of pseudorandom bytes. The seed is the hash code of name and version.
 *
 * @param manifest manifest that lists the digests of the chunks
 * @param chunks content of each chunk, in the order of the manifest
 */
public record SyntheticWeights(Manifest manifest, List<byte[]> chunks) {

	/**
	 * Generates weights. The same arguments give the same content.
	 * @param name name of the model
	 * @param version version of the weights; different versions have different content
	 * @param totalBytes size of all chunks
	 * @param chunkBytes size of each chunk but the last
	 */
	public static SyntheticWeights generate(String name, String version, long totalBytes, int chunkBytes) {
		Random random = new Random((name + "@" + version).hashCode());
		int chunkCount = (int) ((totalBytes + chunkBytes - 1) / chunkBytes);
		List<byte[]> chunks = IntStream.range(0, chunkCount).mapToObj((index) -> {
			byte[] chunk = new byte[(int) Math.min(chunkBytes, totalBytes - (long) index * chunkBytes)];
			random.nextBytes(chunk);
			return chunk;
		}).toList();
		List<String> digests = chunks.stream().map(Digests::sha256).toList();
		return new SyntheticWeights(new Manifest(name, version, chunkBytes, totalBytes, digests), chunks);
	}

}
