package org.jaywood.scaling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jaywood.routing.ServiceProfile;

/**
 * Computes how many engines a service needs and divides them among the data centres.
 * Designed for random arrivals: the margin of two standard deviations of the demand keeps
 * most calls from waiting.
 */
final class EngineNeed {

	private static final double MARGIN = 2;

	private EngineNeed() {
	}

	/**
	 * Returns the engines for a demand.
	 * @param demandSlots slots that calls hold or would hold
	 * @param slots slots of one engine
	 */
	static int engines(double demandSlots, int slots) {
		return (int) Math.ceil((demandSlots + MARGIN * Math.sqrt(demandSlots)) / slots);
	}

	/**
	 * Divides engines among data centres in proportion to their callers, one engine at a
	 * time to the one with the fewest for its callers (method of D'Hondt).
	 * @param engines engines in all
	 * @param callers demand of the callers by data centre that takes engines
	 * @return engines by data centre, within the bounds
	 */
	static Map<String, Integer> divide(int engines, Map<String, Double> callers, ServiceProfile.Scaling bounds) {
		List<String> dataCentres = callers.keySet().stream().sorted().toList();
		boolean even = callers.values().stream().allMatch((demand) -> demand <= 0);
		Map<String, Integer> shares = new HashMap<>();
		dataCentres.forEach((dataCentre) -> shares.put(dataCentre, bounds.min()));
		int left = engines - bounds.min() * dataCentres.size();
		while (left > 0) {
			String next = dataCentres.stream()
				.filter((dataCentre) -> shares.getOrDefault(dataCentre, 0) < bounds.max())
				.max(Comparator.comparingDouble((dataCentre) -> (even ? 1 : callers.getOrDefault(dataCentre, 0.0))
						/ (shares.getOrDefault(dataCentre, 0) + 1)))
				.orElse(null);
			if (next == null) {
				break;
			}
			shares.merge(next, 1, Integer::sum);
			left--;
		}
		return shares;
	}

}
