package org.jaywood.metering;

import java.util.Map;

/**
 * Calls that began to run in a window.
 *
 * @param windowId number of the window since the start of 1970
 * @param counts calls by workspace
 */
public record UsageReport(long windowId, Map<String, Long> counts) {

	public UsageReport {
		counts = Map.copyOf(counts);
	}

}
