package org.jaywood.weights;

import java.util.List;

import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;

/**
 * Verified chunks that a VM holds: sent as an offer, and as the response to a query for
 * them.
 *
 * @param manifest digest of the manifest
 * @param holder peer port of the holder
 * @param chunks indexes of the chunks in the manifest
 */
record ChunkOffer(String manifest, Address holder, List<Integer> chunks) {

	ChunkOffer {
		chunks = List.copyOf(chunks);
		if (chunks.size() > Manifest.MAX_CHUNKS) {
			throw new BadInputException(400, "offer of " + chunks.size() + " chunks exceeds " + Manifest.MAX_CHUNKS);
		}
	}

}
