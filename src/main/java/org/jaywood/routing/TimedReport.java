package org.jaywood.routing;

/**
 * Report of an agent with the time at which it was sent.
 *
 * @param sentMillis time of sending by the boot clock of the agent's VM
 * @param report state of the engine
 */
public record TimedReport(long sentMillis, UpstreamReport report) {
}
