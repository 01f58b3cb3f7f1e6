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
record ActivationState(String upstreamState, String behindReason, String wantedWeights, String servedWeights) {

	ActivationState in(String state, String reason) {
		return new ActivationState(state, reason, this.wantedWeights, this.servedWeights);
	}

	ActivationState wanting(String state, String reason, String wanted) {
		return new ActivationState(state, reason, wanted, this.servedWeights);
	}

	ActivationState serving(String served) {
		return new ActivationState(this.upstreamState, this.behindReason, this.wantedWeights, served);
	}

}
