package org.jaywood.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the rate-limited weight store. Its content is not trusted: readers verify
 * digests.
 */
public interface WeightStore {

	CompletableFuture<byte[]> manifest(String digest);

	CompletableFuture<byte[]> chunk(String digest);

}
