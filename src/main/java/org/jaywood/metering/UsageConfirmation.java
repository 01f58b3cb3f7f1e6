package org.jaywood.metering;

import org.jspecify.annotations.Nullable;

/**
 * Response of the leader to the counts of a gateway.
 *
 * @param sealed last window whose counts are no longer taken
 * @param token fencing token of the leader
 * @param leader counts of the leader's own calls, which the gateway tells the next
 * leader; null if they are too large
 */
public record UsageConfirmation(long sealed, long token, @Nullable ProcessCounts leader) {
}
