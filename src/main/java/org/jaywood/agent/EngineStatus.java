package org.jaywood.agent;

/**
 * Status that an engine reports.
 *
 * @param instance random id of the engine, new at each of its starts
 * @param state {@code cold}, {@code warm} or {@code loading}
 * @param weights digest of the set of weights that it serves, empty for none
 * @param fencing highest fencing token of an order that it accepted
 * @param inFlight calls that it runs
 * @param memoryBytes memory held by its calls
 * @param memoryLimitBytes memory that its calls may hold
 * @param coldLimit calls that it can run while cold
 * @param maxConcurrency calls that it can run while warm
 * @param checksFencing whether it refuses orders with an old fencing token
 */
public record EngineStatus(String instance, String state, String weights, long fencing, int inFlight, long memoryBytes,
		long memoryLimitBytes, int coldLimit, int maxConcurrency, boolean checksFencing) {

	public boolean loading() {
		return this.state.equals("loading");
	}

	public boolean cold() {
		return !this.state.equals("warm");
	}

}
