package org.jaywood.agent;

/**
 * State of an upstream's weights for the dump.
 *
 * @param upstreamState {@code fetching}, {@code verified}, {@code activating},
 * {@code cold}, {@code warm}, {@code draining} or {@code out}
 * @param behindReason why the wanted weights are not served, or empty
 * @param wantedWeights digest of the wanted set
 * @param servedWeights digest of the set for which admission is open, or empty
 */
record ReconcilerStatus(String upstreamState, String behindReason, String wantedWeights, String servedWeights) {

	ReconcilerStatus in(String state, String reason) {
		return new ReconcilerStatus(state, reason, this.wantedWeights, this.servedWeights);
	}

	ReconcilerStatus wanting(String state, String reason, String wanted) {
		return new ReconcilerStatus(state, reason, wanted, this.servedWeights);
	}

	ReconcilerStatus serving(String served) {
		return new ReconcilerStatus(this.upstreamState, this.behindReason, this.wantedWeights, served);
	}

}
