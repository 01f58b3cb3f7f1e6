package org.jaywood.wire;

/**
 * Load of an agent's upstream, sent with each reply in {@link Headers#LOAD}.
 *
 * @param inFlight admitted calls
 * @param limit calls that may be admitted at once at present
 * @param cold whether the upstream is in cold start
 * @param heldBytes memory held at the upstream by admitted calls
 * @param limitBytes memory that admitted calls may hold
 * @param open whether calls are admitted at all
 * @param weights digest of the set of weights served, empty for none
 */
public record LoadReport(int inFlight, int limit, boolean cold, long heldBytes, long limitBytes, boolean open,
		String weights) {
}
