package org.jaywood.metering;

import java.util.Map;

/**
 * Cumulative counts of one gateway process. A later message of the same process has the
 * same or higher counts, so a repeated or late one changes nothing.
 *
 * @param process random id of the process
 * @param windows counts by window and workspace
 */
public record ProcessCounts(String process, Map<Long, Map<String, Long>> windows) {
}
