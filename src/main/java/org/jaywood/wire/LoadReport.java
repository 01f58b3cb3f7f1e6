package org.jaywood.wire;

/**
 * Load of an agent's upstream, sent with each response in {@link Headers#LOAD}.
 *
 * @param inFlight admitted calls
 * @param limit calls that may be admitted at once, at the time of the report
 * @param cold whether the upstream is in cold start
 * @param heldBytes memory that admitted calls occupy at the upstream
 * @param limitBytes memory that admitted calls may occupy
 * @param open whether calls are admitted at all
 * @param weights digest of the set of served weights, empty for none
 */
public record LoadReport(int inFlight, int limit, boolean cold, long heldBytes, long limitBytes, boolean open,
		String weights) {
}
