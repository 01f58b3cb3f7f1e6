package org.jaywood.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Sums up the engines that may run a call by data centre. Engines that are quiet or fail
 * calls count as no engines.
 */
final class DataCentreCapacities {

	private final String dataCentre;

	private final PathTimes pathTimes = new PathTimes();

	DataCentreCapacities(String dataCentre) {
		this.dataCentre = dataCentre;
	}

	/**
	 * Records the time in which a connection to an upstream was opened.
	 */
	void onConnected(Upstream upstream, long millis, long nowMillis) {
		this.pathTimes.onConnected(upstream.dataCentre(), millis, nowMillis);
	}

	boolean isOwn(PlacementPolicy.Candidate candidate) {
		return candidate.state().upstream().dataCentre().equals(this.dataCentre);
	}

	/**
	 * Decides in which data centres a call may be placed.
	 * @param service its service
	 * @param evaluated engines that may run it
	 * @param open those of them that have free capacity
	 * @param waitMillis expected wait for a slot of an engine, -1 if unknown
	 */
	DataCentreChoice.Decision decide(DataCentreChoice choice, String service, List<PlacementPolicy.Candidate> evaluated,
			List<PlacementPolicy.Candidate> open, ToDoubleFunction<PlacementPolicy.Candidate> waitMillis,
			long nowMillis) {
		Map<String, List<PlacementPolicy.Candidate>> byDataCentre = evaluated.stream()
			.filter(PlacementPolicy.Candidate::healthy)
			.collect(Collectors.groupingBy((candidate) -> candidate.state().upstream().dataCentre()));
		Set<PlacementPolicy.Candidate> openSet = Set.copyOf(open);
		DataCentreChoice.Capacity here = capacity(this.dataCentre,
				byDataCentre.getOrDefault(this.dataCentre, List.of()), openSet, waitMillis, nowMillis);
		byDataCentre.remove(this.dataCentre);
		List<DataCentreChoice.Capacity> others = new ArrayList<>();
		byDataCentre
			.forEach((name, candidates) -> others.add(capacity(name, candidates, openSet, waitMillis, nowMillis)));
		return choice.decide(service, here, others, nowMillis);
	}

	private DataCentreChoice.Capacity capacity(String name, List<PlacementPolicy.Candidate> candidates,
			Set<PlacementPolicy.Candidate> open, ToDoubleFunction<PlacementPolicy.Candidate> waitMillis,
			long nowMillis) {
		int slots = 0;
		double calls = 0;
		int ownCalls = 0;
		boolean freeSlot = false;
		double lowestLoad = Double.POSITIVE_INFINITY;
		double shortestWaitMillis = Double.POSITIVE_INFINITY;
		double distancePenalty = 0;
		long delayMillis = Long.MAX_VALUE;
		for (PlacementPolicy.Candidate candidate : candidates) {
			UpstreamState state = candidate.state();
			slots += state.upstream().slots();
			calls += candidate.load();
			ownCalls += state.inFlight();
			distancePenalty = candidate.distanceCost();
			delayMillis = Math.min(delayMillis, state.reportDelayMillis());
			if (open.contains(candidate)) {
				freeSlot |= candidate.load() < state.upstream().slots();
				lowestLoad = Math.min(lowestLoad, candidate.load() / Math.max(1, state.upstream().slots()));
				shortestWaitMillis = Math.min(shortestWaitMillis, waitMillis.applyAsDouble(candidate));
			}
		}
		return new DataCentreChoice.Capacity(name, slots, calls, ownCalls, freeSlot, lowestLoad, shortestWaitMillis,
				this.pathTimes.millis(name, nowMillis), distancePenalty, delayMillis);
	}

}
