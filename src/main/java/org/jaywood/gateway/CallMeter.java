package org.jaywood.gateway;

/**
 * Counts calls that have begun to run at an upstream.
 */
@FunctionalInterface
interface CallMeter {

	/** Counts nothing, where usage is not reported. */
	CallMeter NONE = (workspace, nowMillis) -> {
	};

	/**
	 * Counts a call.
	 * @param workspace workspace of the caller
	 * @param nowMillis boot time at which the answer began to arrive
	 */
	void record(String workspace, long nowMillis);

}
