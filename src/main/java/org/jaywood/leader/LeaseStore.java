package org.jaywood.leader;

import java.io.IOException;

/**
 * The lease object in the store. A request that fails with an exception may have been
 * executed, or may be executed later while its condition holds.
 */
public interface LeaseStore {

	/**
	 * Reads the object.
	 * @param fresh whether the result must not be old; otherwise it may be some seconds
	 * old, which costs less
	 * @throws IOException if the store does not respond
	 */
	LeaseResponse read(boolean fresh) throws IOException;

	/**
	 * Creates the object.
	 * @throws IOException if the store does not say whether it did
	 */
	LeaseResponse create(Lease lease) throws IOException;

	/**
	 * Replaces the object.
	 * @param revision revision that the object must have
	 * @throws IOException if the store does not say whether it did
	 */
	LeaseResponse replace(Lease lease, long revision) throws IOException;

}
