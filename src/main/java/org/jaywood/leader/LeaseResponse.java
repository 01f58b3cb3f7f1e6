package org.jaywood.leader;

import org.jspecify.annotations.Nullable;

/**
 * Response of the store to a request for the lease object.
 */
public sealed interface LeaseResponse {

	/**
	 * Returns the era of the store, which rises with each restore.
	 */
	long era();

	/**
	 * The object as it was read. It may be seconds old.
	 *
	 * @param era era of the store
	 * @param revision revision of the object
	 * @param lease its content
	 */
	record Found(long era, long revision, Lease lease) implements LeaseResponse {
	}

	/**
	 * There is no object.
	 *
	 * @param era era of the store
	 */
	record Missing(long era) implements LeaseResponse {
	}

	/**
	 * The object was written.
	 *
	 * @param era era of the store
	 * @param revision new revision of the object
	 */
	record Written(long era, long revision) implements LeaseResponse {
	}

	/**
	 * The object was not written, since it exists or has another revision.
	 *
	 * @param era era of the store
	 * @param current the present object, or null if the response lacks it
	 */
	record Conflict(long era, @Nullable Found current) implements LeaseResponse {
	}

}
