package org.jaywood.metering;

import java.io.IOException;
import java.util.List;

/**
 * Counts that gateways keep in the store while they cannot reach the leader. Each VM has
 * one object.
 */
public interface UsageCountStore {

	/** Revision of an object that does not exist. */
	long NO_REVISION = -1;

	/**
	 * Reads the object of this VM.
	 * @throws IOException if the store does not respond
	 */
	Stored readOwn() throws IOException;

	/**
	 * Writes the object of this VM if it has not changed since it was read.
	 * @param counts counts of this process and of others that are kept with them
	 * @param revision revision that the object must have
	 * @return its new revision
	 * @throws IOException if the object has changed, or the store does not confirm that
	 * it has written it
	 */
	long write(List<ProcessCounts> counts, long revision) throws IOException;

	/**
	 * Reads the counts of all gateways.
	 * @throws IOException if the store does not respond
	 */
	List<ProcessCounts> readAll() throws IOException;

	/**
	 * Object of a VM.
	 *
	 * @param counts counts in it
	 * @param revision its revision, or {@link #NO_REVISION} if it does not exist
	 */
	record Stored(List<ProcessCounts> counts, long revision) {
	}

}
