package org.jaywood.weights;

/**
 * How weights spread. The modes other than {@link #TREE} are baselines of the burst
 * experiment.
 */
public enum WeightMode {

	/** A tree for each chunk. */
	TREE,

	/** Each VM loads everything from the store. */
	STORE,

	/** One tree for all chunks, which are passed on in the order of the manifest. */
	PLAIN

}
