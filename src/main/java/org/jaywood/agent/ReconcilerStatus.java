package org.jaywood.agent;

/**
 * State of the weights of an upstream for the dump.
 *
 * @param upstreamState {@code fetching}, {@code verified}, {@code activating},
 * {@code cold}, {@code warm}, {@code draining} or {@code out}
 * @param behindReason why the target weights are not served, or empty
 * @param targetWeights digest of the target weights
 * @param servedWeights digest of the weights for which admission is open, or empty
 */
record ReconcilerStatus(String upstreamState, String behindReason, String targetWeights, String servedWeights) {

	ReconcilerStatus withState(String state, String reason) {
		return new ReconcilerStatus(state, reason, this.targetWeights, this.servedWeights);
	}

	ReconcilerStatus withTarget(String state, String reason, String target) {
		return new ReconcilerStatus(state, reason, target, this.servedWeights);
	}

	ReconcilerStatus withServedWeights(String served) {
		return new ReconcilerStatus(this.upstreamState, this.behindReason, this.targetWeights, served);
	}

}
