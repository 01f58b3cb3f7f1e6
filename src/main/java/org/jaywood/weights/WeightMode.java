package org.jaywood.weights;

/**
 * How weights are distributed. The modes other than {@link #TREE} are baselines of the
 * burst experiment.
 */
public enum WeightMode {

	/** One tree for each chunk. */
	TREE,

	/** Each VM fetches all chunks from the weight store. */
	STORE,

	/** One tree for all chunks, which are fetched in the order of the manifest. */
	PLAIN

}
