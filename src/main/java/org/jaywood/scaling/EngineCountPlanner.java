package org.jaywood.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * Decides how many engines of each service run in each data centre. Designed for a demand
 * that changes over several boot times: it orders engines as soon as a need has held for
 * a quarter of the boot time, and removes one only if it was not needed for two boot
 * times and nearly all gateways have reported. A burst that is shorter than the boot time
 * cannot be served by it. While no gateway reports, nothing changes. Not safe for use by
 * several threads.
 */
public final class EngineCountPlanner {

	/**
	 * Slots that are assumed of an engine before any was seen: one engine is enough then,
	 * and shows how many it has.
	 */
	private static final int UNKNOWN_SLOTS = Integer.MAX_VALUE;

	/**
	 * Running calls, as a multiple of those that all engines hold, beyond which a count
	 * is wrong. Engines that are gone from the list may hold calls for a while.
	 */
	private static final double MAX_PLAUSIBLE_LOAD = 2;

	/**
	 * Time for which the orders for a service are kept that is not in the configuration:
	 * the configuration may not be read yet. Later the orders say nothing about its
	 * engines.
	 */
	private static final long MAX_ABSENCE_MILLIS = 60_000;

	/**
	 * Engines that this leader has inherited and has no plan for yet, by service and data
	 * centre.
	 */
	private final Map<Target, Integer> inherited = new HashMap<>();

	private final Map<Target, DataCentrePlan> plans = new HashMap<>();

	/** Time at which each service was last in the configuration. */
	private final Map<String, Long> seenMillisByService = new HashMap<>();

	/** Slots of one engine as last known, by service. */
	private final Map<String, Integer> slotsByService = new HashMap<>();

	private final Map<String, Set<String>> lostByService = new HashMap<>();

	/** Services for which there has been a call. */
	private final Set<String> usedServices = new HashSet<>();

	/**
	 * Creates a planner.
	 * @param inherited numbers that the leader before had ordered, by service and data
	 * centre
	 */
	public EngineCountPlanner(Map<String, Map<String, Integer>> inherited) {
		inherited.forEach((service, counts) -> counts
			.forEach((dataCentre, engines) -> this.inherited.put(new Target(service, dataCentre), engines)));
	}

	/**
	 * Decides and returns the orders that are due, those for more engines first.
	 */
	public List<ScaleOrder> plan(ScalingInput input, long nowMillis) {
		forgetAbsentServices(input, nowMillis);
		List<ScaleOrder> orders = new ArrayList<>();
		new TreeMap<>(input.services())
			.forEach((name, service) -> orders.addAll(plan(name, service, input, nowMillis)));
		orders.sort(Comparator.comparing((ScaleOrder order) -> !raises(order, input)));
		return orders;
	}

	private void forgetAbsentServices(ScalingInput input, long nowMillis) {
		input.services().keySet().forEach((service) -> this.seenMillisByService.put(service, nowMillis));
		this.inherited.keySet().forEach((target) -> this.seenMillisByService.putIfAbsent(target.service(), nowMillis));
		this.seenMillisByService.entrySet().removeIf((entry) -> {
			boolean absent = nowMillis - entry.getValue() > MAX_ABSENCE_MILLIS;
			if (absent) {
				this.plans.keySet().removeIf((target) -> target.service().equals(entry.getKey()));
				this.inherited.keySet().removeIf((target) -> target.service().equals(entry.getKey()));
				this.lostByService.remove(entry.getKey());
				this.usedServices.remove(entry.getKey());
				this.slotsByService.remove(entry.getKey());
			}
			return absent;
		});
	}

	private static boolean raises(ScaleOrder order, ScalingInput input) {
		ScalingInput.Service service = input.services().get(order.service());
		ScalingInput.DataCentre present = (service != null) ? service.dataCentres().get(order.dataCentre()) : null;
		return present != null && order.engines() > present.engines();
	}

	private List<ScaleOrder> plan(String name, ScalingInput.Service service, ScalingInput input, long nowMillis) {
		Map<String, ScalingInput.DataCentre> dataCentres = new TreeMap<>(service.dataCentres());
		dataCentres.forEach((dataCentre, present) -> {
			DataCentrePlan plan = planOf(name, dataCentre, service);
			plan.setBootMillis(service.bounds().bootMillis());
			plan.onEngines(present.engines(), nowMillis);
		});
		if (service.slots() > 0) {
			this.slotsByService.put(name, service.slots());
		}
		if (input.demandKnown()) {
			decide(name, service, dataCentres, input.demandComplete(), nowMillis);
		}
		List<ScaleOrder> orders = new ArrayList<>();
		dataCentres.keySet()
			.forEach((dataCentre) -> planOf(name, dataCentre, service).due(nowMillis)
				.ifPresent((engines) -> orders.add(new ScaleOrder(name, dataCentre, engines))));
		return orders;
	}

	private void decide(String name, ScalingInput.Service service, Map<String, ScalingInput.DataCentre> dataCentres,
			boolean complete, long nowMillis) {
		OptionalDouble demandSlots = demandSlots(service, dataCentres);
		if (demandSlots.isEmpty()) {
			return;
		}
		if (demandSlots.getAsDouble() > 0) {
			this.usedServices.add(name);
		}
		// Before the first call nothing tells how many engines a service needs.
		boolean mayLower = complete && this.usedServices.contains(name);
		Set<String> lost = new HashSet<>();
		Map<String, Double> callers = new HashMap<>();
		dataCentres.forEach((dataCentre, present) -> {
			boolean notAnswering = planOf(name, dataCentre, service).lost(present.engines(), nowMillis);
			if (present.closed() || notAnswering) {
				lost.add(dataCentre);
			}
			else {
				callers.put(dataCentre, present.demand().total());
			}
		});
		Set<String> lostBefore = this.lostByService.getOrDefault(name, Set.of());
		boolean newlyLost = !lostBefore.containsAll(lost);
		this.lostByService.put(name, lost);
		int engines = EngineNeed.engines(demandSlots.getAsDouble(),
				this.slotsByService.getOrDefault(name, UNKNOWN_SLOTS));
		EngineNeed.divide(engines, callers, service.bounds()).forEach((dataCentre, need) -> {
			DataCentrePlan plan = planOf(name, dataCentre, service);
			plan.onNeed(mayLower ? need : Math.max(need, plan.wanted()), newlyLost, nowMillis);
		});
		// Engines in a closed data centre get no calls. One whose engines do not answer
		// keeps its number, so that they serve when it is back.
		dataCentres.forEach((dataCentre, present) -> {
			if (present.closed()) {
				planOf(name, dataCentre, service).onNeed(service.bounds().min(), false, nowMillis);
			}
		});
	}

	/**
	 * Returns the demand for a service in slots, empty if it cannot be true. Calls that
	 * run are counted up to what all engines hold; far more of them show that a count is
	 * wrong.
	 */
	private static OptionalDouble demandSlots(ScalingInput.Service service,
			Map<String, ScalingInput.DataCentre> dataCentres) {
		SlotDemand sum = dataCentres.values()
			.stream()
			.map(ScalingInput.DataCentre::demand)
			.reduce(SlotDemand.NONE, SlotDemand::plus);
		int engines = dataCentres.values().stream().mapToInt(ScalingInput.DataCentre::engines).sum();
		// An engine holds its slots and one call more.
		double capacity = (double) engines * (service.slots() + 1);
		if (engines > 0 && sum.held() > MAX_PLAUSIBLE_LOAD * capacity) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(Math.min(sum.held(), capacity) + sum.unserved());
	}

	private DataCentrePlan planOf(String name, String dataCentre, ScalingInput.Service service) {
		return this.plans.computeIfAbsent(new Target(name, dataCentre),
				(target) -> new DataCentrePlan(startOf(target, service), service.bounds().bootMillis()));
	}

	private int startOf(Target target, ScalingInput.Service service) {
		Integer ordered = this.inherited.remove(target);
		ScalingInput.DataCentre present = service.dataCentres().get(target.dataCentre());
		return (ordered != null) ? ordered : (present != null) ? present.engines() : 0;
	}

	/**
	 * Records what became of an order.
	 * @param accepted whether the platform has accepted it
	 */
	public void onResult(ScaleOrder order, boolean accepted, long nowMillis) {
		DataCentrePlan plan = this.plans.get(new Target(order.service(), order.dataCentre()));
		if (plan == null) {
			return;
		}
		if (accepted) {
			plan.onAccepted(order.engines(), nowMillis);
		}
		else {
			plan.onFailed(nowMillis);
		}
	}

	/**
	 * Returns the numbers that are wanted, by service and data centre.
	 */
	public Map<String, Map<String, Integer>> wanted() {
		return collect(DataCentrePlan::wanted);
	}

	/**
	 * Returns the numbers that were ordered last, by service and data centre.
	 */
	public Map<String, Map<String, Integer>> ordered() {
		Map<String, Map<String, Integer>> ordered = collect(DataCentrePlan::ordered);
		this.inherited.forEach((target, engines) -> ordered.computeIfAbsent(target.service(), (name) -> new TreeMap<>())
			.put(target.dataCentre(), engines));
		return ordered;
	}

	private Map<String, Map<String, Integer>> collect(ToIntFunction<DataCentrePlan> number) {
		Map<String, Map<String, Integer>> numbers = new TreeMap<>();
		this.plans.forEach((target, plan) -> numbers.computeIfAbsent(target.service(), (name) -> new TreeMap<>())
			.put(target.dataCentre(), number.applyAsInt(plan)));
		return numbers;
	}

	/**
	 * Engines of a service in a data centre.
	 */
	private record Target(String service, String dataCentre) {
	}

}
