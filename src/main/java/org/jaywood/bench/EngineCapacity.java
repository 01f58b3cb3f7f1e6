package org.jaywood.bench;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadResult.Outcome;

/**
 * Measures what the engines of the first model service answer at most, once all of them
 * are warm. A measurement of cold engines shows a fraction of their capacity, so that a
 * load derived from it is far from full.
 */
final class EngineCapacity {

	private static final long WARM_UP_TIMEOUT_MILLIS = 30_000;

	/** Length of the window in which answers are counted. */
	private static final long MEASUREMENT_MILLIS = 4_000;

	/**
	 * Callers for each call that the engines can hold. Those beyond wait at the routers,
	 * so that a place that becomes free is taken at once.
	 */
	private static final double CALLERS_PER_CALL_SLOT = 1.5;

	private final Installation installation;

	private final String weightsDigest;

	private final int callsPerEngine;

	private final int tokens;

	private final long seed;

	/**
	 * Creates a measurement.
	 * @param installation an installation whose engines serve
	 * @param weights digest of the set of weights served
	 * @param callsPerEngine calls that each engine can hold while warm
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
	 * Loads the engines until all are in full service, and then measures.
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
		// As many calls begin before the phase and end in it as the other way round.
		return load.figures("capacity").count(Outcome.ANSWERED) / seconds;
	}

	/**
	 * Whether all engines of agents are warm and their agents admit as many calls as the
	 * engines can hold. An agent raises its limit only after its engine is warm.
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
