package org.jaywood.metering;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Message of a gateway to the leader.
 *
 * @param process random id of the process
 * @param windows its counts by window and workspace
 * @param copies counts of other processes that this one keeps, or null if there are none
 */
public record UsageMessage(String process, Map<Long, Map<String, Long>> windows, @Nullable List<ProcessCounts> copies) {

	/**
	 * Returns all counts of the message.
	 */
	List<ProcessCounts> all() {
		List<ProcessCounts> all = new ArrayList<>();
		all.add(new ProcessCounts(this.process, this.windows));
		if (this.copies != null) {
			all.addAll(this.copies);
		}
		return all;
	}

}
