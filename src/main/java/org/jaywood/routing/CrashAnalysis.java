package org.jaywood.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Finds the parts of prompts that explain the ends of engines. A part is taken for the
 * cause after {@value #MIN_ENDS} ends at which it stands out, after {@value #MAX_ENDS} in
 * any case. Used once.
 */
final class CrashAnalysis {

	/** Ends of engines that a part must explain. */
	private static final int MIN_ENDS = 3;

	/** The same while other parts may be the cause as well. */
	private static final int MAX_ENDS = 5;

	/**
	 * Weight from which a part stands out. A part that is alone in all calls under which
	 * an engine ended has a weight of 1 for it.
	 */
	private static final double CLEAR_WEIGHT = 1;

	private final Collection<Crash> crashes;

	private final Set<String> explainedEngines = new HashSet<>();

	private final List<Cause> causes = new ArrayList<>();

	CrashAnalysis(Collection<Crash> crashes) {
		this.crashes = crashes;
	}

	/**
	 * Returns the parts that are taken for causes.
	 */
	List<Cause> causes() {
		explain(likelyCauses(), MIN_ENDS);
		explain(this.crashes, MAX_ENDS);
		return List.copyOf(this.causes);
	}

	/**
	 * Returns, for each end of an engine, the calls whose answer it had begun, or all
	 * calls if there is none.
	 */
	private List<Crash> likelyCauses() {
		Set<String> enginesWithBegun = this.crashes.stream()
			.filter(Crash::begun)
			.map(Crash::engine)
			.collect(Collectors.toSet());
		return this.crashes.stream()
			.filter((crash) -> crash.begun() || !enginesWithBegun.contains(crash.engine()))
			.toList();
	}

	/**
	 * Finds the parts that explain most ends, one after the other. An end that a part
	 * explains does not speak against the parts beside it.
	 * @param candidates calls that may be the cause
	 * @param minEnds ends of engines that a part must explain
	 */
	private void explain(Collection<Crash> candidates, int minEnds) {
		while (true) {
			List<Cause> suspects = suspects(
					candidates.stream().filter((crash) -> !this.explainedEngines.contains(crash.engine())).toList(),
					minEnds);
			if (suspects.isEmpty() || !standsOut(suspects.getFirst(), suspects)) {
				return;
			}
			Cause best = suspects.getFirst();
			this.causes.add(best);
			this.explainedEngines.addAll(best.engines());
		}
	}

	private static boolean standsOut(Cause best, List<Cause> suspects) {
		return best.engines().size() >= MAX_ENDS
				|| (best.weight() >= CLEAR_WEIGHT && suspects.stream().noneMatch(best::hasRival));
	}

	/**
	 * Returns the parts under which enough engines ended, the most likely cause first.
	 */
	private static List<Cause> suspects(Collection<Crash> crashes, int minEnds) {
		Map<String, List<Crash>> crashesByPart = new TreeMap<>();
		crashes.forEach((crash) -> crash.parts()
			.forEach((part) -> crashesByPart.computeIfAbsent(part, (key) -> new ArrayList<>()).add(crash)));
		Map<String, Long> callsByEngine = crashes.stream()
			.collect(Collectors.groupingBy(Crash::engine, Collectors.counting()));
		return crashesByPart.values()
			.stream()
			.map((ofPart) -> suspect(ofPart, callsByEngine))
			.filter((suspect) -> suspect.engines().size() >= minEnds)
			.sorted(Comparator.comparingInt((Cause suspect) -> suspect.engines().size())
				.thenComparingDouble(Cause::weight)
				.reversed())
			.toList();
	}

	private static Cause suspect(List<Crash> ofPart, Map<String, Long> callsByEngine) {
		Map<String, Set<String>> partsByEngine = new HashMap<>();
		ofPart.forEach((crash) -> partsByEngine.computeIfAbsent(crash.engine(), (key) -> new HashSet<>())
			.addAll(crash.parts()));
		Set<String> common = new HashSet<>(partsByEngine.values().iterator().next());
		partsByEngine.values().forEach(common::retainAll);
		double weight = partsByEngine.keySet()
			.stream()
			.sorted()
			.mapToDouble((engine) -> 1.0 / callsByEngine.getOrDefault(engine, 1L))
			.sum();
		return new Cause(Set.copyOf(common), Set.copyOf(partsByEngine.keySet()), weight);
	}

	/**
	 * A part under which enough engines ended.
	 *
	 * @param parts the part, and those that were beside it in a call at each of the ends:
	 * it is not known which of them is the cause
	 * @param engines incarnations of the engines that ended
	 * @param weight sum over the engines of the share that this part has in the calls
	 * that may be the cause
	 */
	record Cause(Set<String> parts, Set<String> engines, double weight) {

		/**
		 * Whether another part was at as many ends, some of them the same, in other
		 * calls, so that one end more has to tell which of the two is the cause.
		 */
		boolean hasRival(Cause other) {
			return !other.parts.equals(this.parts) && other.engines.size() >= this.engines.size()
					&& other.engines.stream().anyMatch(this.engines::contains);
		}

	}

	/**
	 * Call under which an engine ended.
	 *
	 * @param engine incarnation of the engine
	 * @param parts parts that may be the cause
	 * @param begun whether the engine had begun to answer the call
	 */
	record Crash(String engine, Set<String> parts, boolean begun) {
	}

}
