package org.jaywood.weights;

import java.util.List;

import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;

/**
 * Offer of verified chunks, or the answer to the question which ones a VM holds.
 *
 * @param manifest digest of the manifest
 * @param holder peer port of the holder
 * @param chunks indexes of the chunks
 */
record ChunkOffer(String manifest, Address holder, List<Integer> chunks) {

	ChunkOffer {
		chunks = List.copyOf(chunks);
		if (chunks.size() > Manifest.MAX_CHUNKS) {
			throw new BadInputException(400, "offer of " + chunks.size() + " chunks exceeds " + Manifest.MAX_CHUNKS);
		}
	}

}
