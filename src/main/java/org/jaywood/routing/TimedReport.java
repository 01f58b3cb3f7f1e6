package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Message: report of an agent with the time at which it was sent.
 *
 * @param sentMillis time of sending by the boot clock of the agent's VM
 * @param evidence what the agent has learned of parts of prompts that may crash engines
 * since its last message, or null
 * @param report state of the engine, or null while the agent does not know it
 */
public record TimedReport(long sentMillis, @Nullable EvidenceMessage evidence, @Nullable UpstreamReport report) {
}
