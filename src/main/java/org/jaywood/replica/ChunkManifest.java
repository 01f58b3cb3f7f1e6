package org.jaywood.replica;

import java.util.List;

/**
 * Digests of the chunks of one version of a model.
 *
 * @param model name of the model
 * @param version number of the version
 * @param digests SHA-256 of each chunk in hexadecimal
 */
public record ChunkManifest(String model, long version, List<String> digests) {

	public int size() {
		return this.digests.size();
	}

}
