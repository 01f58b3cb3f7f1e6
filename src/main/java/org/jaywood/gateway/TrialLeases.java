package org.jaywood.gateway;

import java.io.IOException;

/**
 * Leases in the store, of which each is granted to one gateway only.
 */
public interface TrialLeases {

	/**
	 * Acquires a lease.
	 * @param name name of the lease
	 * @return whether this gateway has it; false if another one has
	 * @throws IOException if the store does not say; the lease may have been granted
	 */
	boolean tryAcquire(String name) throws IOException;

	/**
	 * Acquires a lease again that this gateway had, which the store may have lost.
	 * @param name name of the lease
	 * @return whether this gateway has it; false if another one has acquired it meanwhile
	 * @throws IOException if the store does not say; the lease may have been granted
	 */
	boolean reacquire(String name) throws IOException;

	/**
	 * Releases a lease if this gateway has it.
	 * @throws IOException if the store does not confirm it
	 */
	void release(String name) throws IOException;

}
