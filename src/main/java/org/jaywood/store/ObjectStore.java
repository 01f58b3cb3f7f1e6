package org.jaywood.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's object API. Futures fail with {@link PlatformException}.
 */
public interface ObjectStore {

	/**
	 * Reads an object; fails with {@code NOT_FOUND} if it does not exist.
	 */
	CompletableFuture<StoredObject> get(String kind, String name);

	/**
	 * Creates an object; fails with {@code CONFLICT} if it exists.
	 * @return the version of the new object
	 */
	CompletableFuture<Long> create(String kind, String name, byte[] value);

	/**
	 * Replaces an object; fails with {@code CONFLICT} if it has another version.
	 * @return the new version
	 */
	CompletableFuture<Long> update(String kind, String name, byte[] value, long expectedVersion);

	/**
	 * Deletes an object; fails with {@code CONFLICT} if it has another version.
	 */
	CompletableFuture<Void> delete(String kind, String name, long expectedVersion);

	/**
	 * Waits for changes of the objects of a kind.
	 * @param kind kind of objects
	 * @param afterVersion only later changes are returned; 0 returns all objects
	 * @param waitMillis longest time until an empty page is returned
	 */
	CompletableFuture<ObjectPage> watch(String kind, long afterVersion, long waitMillis);

}
