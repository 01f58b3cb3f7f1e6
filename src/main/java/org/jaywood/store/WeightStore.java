package org.jaywood.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the rate-limited store of weights. Content is not trusted: the reader checks
 * digests.
 */
public interface WeightStore {

	CompletableFuture<byte[]> manifest(String digest);

	CompletableFuture<byte[]> chunk(String digest);

}
