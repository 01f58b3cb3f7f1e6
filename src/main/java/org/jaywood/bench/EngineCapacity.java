package org.jaywood.bench;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadResult.Outcome;

/**
 * Measures the highest rate of answers of the engines of the first model service once all
 * of them are warm. A measurement with cold engines shows only a fraction of the
 * capacity, and a load derived from it would be far from full.
 */
final class EngineCapacity {

	private static final long WARM_UP_TIMEOUT_MILLIS = 30_000;

	/** Length of the period in which answers are counted. */
	private static final long MEASUREMENT_MILLIS = 4_000;

	/**
	 * Callers for each concurrent call of the engines. The calls beyond the capacity wait
	 * in the queues of the routers, so that free capacity is used at once.
	 */
	private static final double CALLERS_PER_CALL_SLOT = 1.5;

	private final Installation installation;

	private final String weightsDigest;

	private final int callsPerEngine;

	private final int tokens;

	private final long seed;

	/**
	 * Creates a measurement.
	 * @param installation an installation whose engines serve the weights
	 * @param weights digest of the set of weights served
	 * @param callsPerEngine highest number of concurrent calls of a warm engine
	 * @param tokens tokens of each answer
	 * @param seed seed of the load
	 */
	EngineCapacity(Installation installation, String weights, int callsPerEngine, int tokens, long seed) {
		this.installation = installation;
		this.weightsDigest = weights;
		this.callsPerEngine = callsPerEngine;
		this.tokens = tokens;
		this.seed = seed;
	}

	/**
	 * Loads the engines until all accept their full load, and then measures.
	 * @return answers a second of all engines together
	 */
	double measureAnswersPerSecond() throws InterruptedException {
		List<Member> agents = this.installation.agentsOf(this.installation.profile().model().name());
		int callers = (int) Math.ceil(CALLERS_PER_CALL_SLOT * agents.size() * this.callsPerEngine);
		LoadGenerator load = new LoadGenerator(LoadSettings.closed(this.installation, callers, this.tokens, this.seed))
			.allowWeights(this.weightsDigest);
		double seconds;
		try (load) {
			load.start("warming");
			Installation.await("all engines are warm and take their full load", WARM_UP_TIMEOUT_MILLIS,
					() -> acceptFullLoad(agents));
			load.beginPhase("capacity");
			long startNanos = System.nanoTime();
			Thread.sleep(MEASUREMENT_MILLIS);
			load.beginPhase("end");
			seconds = RoutingExperiment.secondsSince(startNanos);
		}
		// Calls are counted in the phase in which they were due. In a steady load,
		// as many calls end in a phase as are due in it.
		return load.figures("capacity").count(Outcome.ANSWERED) / seconds;
	}

	/**
	 * Whether the engines of all given agents are warm and the agents admit as many calls
	 * as the engines can run. An agent raises its limit only after its engine is warm.
	 */
	boolean acceptFullLoad(List<Member> agents) throws IOException, InterruptedException {
		for (Member agent : agents) {
			JsonNode state = this.installation.state(agent);
			if (!state.path("upstreamState").asText().equals("warm")
					|| state.at("/load/limit").asInt() < this.callsPerEngine) {
				return false;
			}
		}
		return true;
	}

}
