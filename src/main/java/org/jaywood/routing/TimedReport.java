package org.jaywood.routing;

/**
 * A report as it travels to the gateways.
 *
 * @param sentMillis time of sending by the boot clock of the agent's VM
 * @param report state of the engine
 */
public record TimedReport(long sentMillis, UpstreamReport report) {
}
