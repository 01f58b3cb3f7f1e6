package org.jaywood.metering;

import java.io.IOException;
import java.util.List;

/**
 * Counts that gateways keep in the store while they cannot reach the leader.
 */
public interface UsageCountStore {

	/**
	 * Writes the counts of this process, in place of those written before.
	 * @throws IOException if the store does not confirm it
	 */
	void write(ProcessCounts counts) throws IOException;

	/**
	 * Reads the counts of all gateways.
	 * @throws IOException if the store does not respond
	 */
	List<ProcessCounts> readAll() throws IOException;

}
