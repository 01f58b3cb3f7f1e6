package org.jaywood.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.routing.ServiceProfile;

import static com.google.common.truth.Truth.assertThat;

/**
 * Plays loads against the planner and a platform that follows each order after the boot
 * time.
 */
class EngineCountPlannerTests {

	private static final long BOOT_MILLIS = 8_000;

	private static final int SLOTS = 12;

	private static final int MAX = 10;

	/**
	 * Demand in each data centre at the start; with a margin of 11 slots it needs 4
	 * engines in all.
	 */
	private static final double HELD = 14;

	private static final String SERVICE = "pool";

	private final Map<String, Integer> engines = new TreeMap<>(Map.of("a", 2, "b", 2));

	private final Map<String, SlotDemand> demand = new HashMap<>();

	private final Set<String> closed = new HashSet<>();

	private final List<Sent> sent = new ArrayList<>();

	private final List<Sent> booting = new ArrayList<>();

	private EngineCountPlanner planner = new EngineCountPlanner(Map.of());

	private boolean demandKnown = true;

	private boolean demandComplete = true;

	private boolean followsOrders = true;

	private boolean acceptsOrders = true;

	private boolean configured = true;

	private long bootMillis = BOOT_MILLIS;

	private long nowMillis = 1_000_000;

	@BeforeEach
	void settle() {
		demand(HELD, HELD);
		run(3 * BOOT_MILLIS);
		assertThat(this.sent).isEmpty();
	}

	private void demand(double inA, double inB) {
		this.demand.put("a", new SlotDemand(inA, 0));
		this.demand.put("b", new SlotDemand(inB, 0));
	}

	private void unserved(double inA, double inB) {
		this.demand.put("a", new SlotDemand(HELD, inA));
		this.demand.put("b", new SlotDemand(HELD, inB));
	}

	private void run(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += 1_000;
			this.booting.removeIf((order) -> {
				boolean booted = order.sentMillis() + this.bootMillis <= this.nowMillis;
				if (booted) {
					this.engines.put(order.order().dataCentre(), order.order().engines());
				}
				return booted;
			});
			for (ScaleOrder order : this.planner.plan(input(), this.nowMillis)) {
				this.sent.add(new Sent(order, this.nowMillis));
				this.planner.onResult(order, this.acceptsOrders, this.nowMillis);
				if (this.followsOrders && this.acceptsOrders) {
					this.booting.add(this.sent.getLast());
				}
			}
		}
	}

	private ScalingInput input() {
		if (!this.configured) {
			return new ScalingInput(false, false, Map.of());
		}
		Map<String, ScalingInput.DataCentre> dataCentres = new HashMap<>();
		this.engines.forEach((name, count) -> dataCentres.put(name, new ScalingInput.DataCentre(count,
				this.closed.contains(name), this.demand.getOrDefault(name, SlotDemand.NONE))));
		return new ScalingInput(this.demandKnown, this.demandComplete, Map.of(SERVICE,
				new ScalingInput.Service(new ServiceProfile.Scaling(1, MAX, this.bootMillis), SLOTS, dataCentres)));
	}

	private Map<String, Integer> wanted() {
		return this.planner.wanted().get(SERVICE);
	}

	private List<ScaleOrder> orders() {
		return this.sent.stream().map(Sent::order).toList();
	}

	/**
	 * Guards against a size that leaves calls waiting, or is out of bounds.
	 */
	@Nested
	class Sizing {

		@Test
		void marginCoversRandomVariation() {
			// 100 slots and a margin of two standard deviations are 120 slots.
			assertThat(EngineNeed.engines(100, SLOTS)).isEqualTo(10);
			assertThat(EngineNeed.engines(0, SLOTS)).isEqualTo(0);
		}

		@Test
		void enginesAreDividedByCallersWithinBounds() {
			ServiceProfile.Scaling bounds = new ServiceProfile.Scaling(1, 6, BOOT_MILLIS);
			assertThat(EngineNeed.divide(8, Map.of("a", 30.0, "b", 10.0), bounds)).containsExactly("a", 6, "b", 2);
			assertThat(EngineNeed.divide(40, Map.of("a", 30.0, "b", 10.0), bounds)).containsExactly("a", 6, "b", 6);
			assertThat(EngineNeed.divide(0, Map.of("a", 30.0, "b", 0.0), bounds)).containsExactly("a", 1, "b", 1);
			assertThat(EngineNeed.divide(4, Map.of("a", 0.0, "b", 0.0), bounds)).containsExactly("a", 2, "b", 2);
		}

	}

	@Nested
	class Step {

		@Test
		void enginesAreOrderedAfterAQuarterOfTheBootTimeAndRemovedAfterTwo() {
			unserved(20, 20);
			run(1_000);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
			run(2_000);
			assertThat(orders()).containsExactly(new ScaleOrder(SERVICE, "a", 4), new ScaleOrder(SERVICE, "b", 4));
			run(BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.engines).containsExactly("a", 4, "b", 4);
			demand(HELD, HELD);
			run(2 * BOOT_MILLIS - 1_000);
			assertThat(orders()).hasSize(2);
			run(3_000);
			assertThat(wanted()).containsExactly("a", 2, "b", 2);
			assertThat(orders()).hasSize(4);
		}

	}

	@Nested
	class Ramp {

		@Test
		void enginesFollowARampWithoutGoingDownInBetween() {
			int wantedBefore = 2;
			for (int step = 0; step < 20; step++) {
				unserved(2 * step, 2 * step);
				run(2_000);
				assertThat(wanted().get("a")).isAtLeast(wantedBefore);
				wantedBefore = wanted().get("a");
			}
			run(2 * BOOT_MILLIS);
			// 104 slots of demand, 20 slots of margin.
			assertThat(EngineCountPlannerTests.this.engines).containsExactly("a", 6, "b", 5);
		}

	}

	@Nested
	class Burst {

		@Test
		void burstShorterThanAQuarterOfTheBootTimeOrdersNothing() {
			unserved(80, 80);
			run(BOOT_MILLIS / 4 - 1_000);
			demand(HELD, HELD);
			run(4 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
		}

		@Test
		void repeatedShortBurstsOrderNothing() {
			for (int burst = 0; burst < 10; burst++) {
				unserved(80, 80);
				run(1_000);
				demand(HELD, HELD);
				run(3_000);
			}
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
		}

	}

	@Nested
	class Silence {

		@Test
		void nothingChangesWhileNoGatewayReports() {
			EngineCountPlannerTests.this.demandKnown = false;
			EngineCountPlannerTests.this.demand.clear();
			run(10 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
		}

		/**
		 * Guards against a time without reports that counts as a time of low need.
		 */
		@Test
		void enginesAreNotRemovedBeforeTwoBootTimesOfReportsAfterASilence() {
			demand(0, 0);
			run(2_000);
			EngineCountPlannerTests.this.demandKnown = false;
			run(3 * BOOT_MILLIS);
			EngineCountPlannerTests.this.demandKnown = true;
			run(2 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
			run(3_000);
			assertThat(wanted()).containsExactly("a", 1, "b", 1);
		}

		@Test
		void enginesAreAddedButNotRemovedWhileManyGatewaysAreNotHeard() {
			EngineCountPlannerTests.this.demandComplete = false;
			demand(0, 0);
			run(10 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
			unserved(20, 20);
			run(BOOT_MILLIS);
			assertThat(wanted()).containsExactly("a", 4, "b", 4);
		}

		@Test
		void enginesGoDownToTheMinimumWithoutCalls() {
			demand(0, 0);
			run(4 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.engines).containsExactly("a", 1, "b", 1);
			assertThat(orders()).hasSize(2);
		}

		/**
		 * Guards against engines that are removed before the first callers come, who
		 * would then wait for a boot time.
		 */
		@Test
		void serviceWithoutAnyCallYetKeepsItsEngines() {
			demand(0, 0);
			EngineCountPlannerTests.this.planner = new EngineCountPlanner(Map.of());
			run(10 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
		}

		@Test
		void newLeaderRemovesNoEnginesBeforeItKnowsTheDemandOfTwoBootTimes() {
			demand(0, 0);
			EngineCountPlannerTests.this.planner = new EngineCountPlanner(Map.of(SERVICE, Map.of("a", 2, "b", 2)));
			run(2 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
		}

	}

	/**
	 * Guards against an order that removes engines which others have added: an order
	 * states a number, and one that is computed from an older number is too small.
	 */
	@Nested
	class EnginesOfOthers {

		@Test
		void enginesThatAppearOneByOneAfterAStartAreNotOrderedAway() {
			EngineCountPlannerTests.this.planner = new EngineCountPlanner(Map.of());
			demand(0, 0);
			for (int count = 0; count <= 6; count++) {
				EngineCountPlannerTests.this.engines.put("a", count);
				run(2_000);
			}
			demand(HELD, HELD);
			run(BOOT_MILLIS);
			assertThat(orders().stream().filter((order) -> order.dataCentre().equals("a")).toList()).isEmpty();
		}

		@Test
		void needBelowTheEnginesThatWereAddedByOthersOrdersNone() {
			EngineCountPlannerTests.this.engines.put("a", 5);
			run(1_000);
			unserved(14, 0);
			run(BOOT_MILLIS);
			assertThat(orders().stream().filter((order) -> order.dataCentre().equals("a")).toList()).isEmpty();
		}

		@Test
		void enginesOfOthersThatAreNotNeededAreRemovedAfterTwoBootTimes() {
			EngineCountPlannerTests.this.engines.put("a", 5);
			run(4 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.engines).containsExactly("a", 2, "b", 2);
		}

	}

	/**
	 * Guards against decisions by a configuration of before.
	 */
	@Nested
	class ChangedConfiguration {

		@Test
		void longerBootTimeHoldsForTheNextDecision() {
			EngineCountPlannerTests.this.bootMillis = 3 * BOOT_MILLIS;
			demand(0, 0);
			run(5 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
			run(2 * BOOT_MILLIS);
			assertThat(wanted()).containsExactly("a", 1, "b", 1);
		}

		/**
		 * The number inherited at the start of the term is older than the orders of the
		 * term.
		 */
		@Test
		void serviceThatIsNotReadForAMomentGoesOnFromItsLastOrders() {
			EngineCountPlannerTests.this.planner = new EngineCountPlanner(Map.of(SERVICE, Map.of("a", 2, "b", 2)));
			unserved(20, 20);
			run(3_000);
			assertThat(orders()).containsExactly(new ScaleOrder(SERVICE, "a", 4), new ScaleOrder(SERVICE, "b", 4));
			EngineCountPlannerTests.this.configured = false;
			run(1_000);
			EngineCountPlannerTests.this.configured = true;
			assertThat(EngineCountPlannerTests.this.planner.ordered())
				.isEqualTo(Map.of(SERVICE, Map.of("a", 4, "b", 4)));
			run(BOOT_MILLIS);
			assertThat(orders()).hasSize(2);
		}

		@Test
		void ordersOfAServiceThatIsGoneAreForgotten() {
			EngineCountPlannerTests.this.planner = new EngineCountPlanner(
					Map.of(SERVICE, Map.of("a", 2, "b", 2), "gone", Map.of("a", 5)));
			run(62_000);
			assertThat(EngineCountPlannerTests.this.planner.ordered().keySet()).containsExactly(SERVICE);
			EngineCountPlannerTests.this.configured = false;
			run(62_000);
			assertThat(EngineCountPlannerTests.this.planner.ordered()).isEmpty();
		}

	}

	@Nested
	class LostDataCentre {

		@Test
		void closedDataCentreIsMadeUpForAtOnce() {
			EngineCountPlannerTests.this.closed.add("a");
			run(1_000);
			assertThat(orders()).containsExactly(new ScaleOrder(SERVICE, "b", 4));
			run(3 * BOOT_MILLIS);
			assertThat(wanted()).containsExactly("a", 1, "b", 4);
		}

		@Test
		void dataCentreWhoseEnginesAreGoneIsMadeUpForWithinBounds() {
			unserved(60, 60);
			run(3 * BOOT_MILLIS);
			EngineCountPlannerTests.this.engines.put("a", 0);
			EngineCountPlannerTests.this.followsOrders = false;
			run(1_000);
			assertThat(wanted().get("b")).isEqualTo(MAX);
		}

		@Test
		void dataCentreThatIsBackGetsItsEnginesAndTheOthersLoseTheirs() {
			EngineCountPlannerTests.this.engines.put("a", 0);
			run(1_000);
			assertThat(wanted()).containsExactly("a", 2, "b", 4);
			EngineCountPlannerTests.this.engines.put("a", 2);
			run(4 * BOOT_MILLIS);
			assertThat(wanted()).containsExactly("a", 2, "b", 2);
		}

		@Test
		void allDataCentresLostChangeNothing() {
			EngineCountPlannerTests.this.engines.replaceAll((name, count) -> 0);
			run(1_000);
			assertThat(wanted()).containsExactly("a", 2, "b", 2);
		}

	}

	@Nested
	class WrongCounts {

		@Test
		void farMoreRunningCallsThanEnginesHoldChangeNothing() {
			demand(100_000, HELD);
			run(10 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent).isEmpty();
		}

		@Test
		void runningCallsCountUpToWhatEnginesHold() {
			demand(80, HELD);
			run(BOOT_MILLIS);
			// 4 engines hold 52 calls at most, with a margin of 14 slots.
			assertThat(wanted()).containsExactly("a", 5, "b", 2);
		}

		@Test
		void demandBeyondTheMaximumOrdersTheMaximum() {
			unserved(1e6, 1e6);
			run(BOOT_MILLIS);
			assertThat(wanted()).containsExactly("a", MAX, "b", MAX);
		}

		@Test
		void implausibleReportsAreNotUsed() {
			DemandTable table = new DemandTable();
			List<ServiceDemand> wrong = List.of(new ServiceDemand(SERVICE, -1, 0, 1, 0, 100),
					new ServiceDemand(SERVICE, 1, 0, Double.NaN, 0, 100),
					new ServiceDemand(SERVICE, 1, 0, 1, Double.POSITIVE_INFINITY, 100),
					new ServiceDemand(SERVICE, 1, 50_000, 1, 0, 100), new ServiceDemand(SERVICE, 1, 0, 1, 50_000, 100),
					new ServiceDemand("", 1, 0, 1, 0, 100));
			wrong.forEach(
					(demand) -> assertThat(table.onReport(new DemandReport("g", "a", List.of(demand)), 0)).isNotNull());
			assertThat(table.onReport(new DemandReport("g", null, List.of()), 0)).isNotNull();
			assertThat(table.reporting(0)).isEqualTo(0);
		}

		@Test
		void reportsOfAllGatewaysAreSummedAndOldOnesLeftOut() {
			DemandTable table = new DemandTable();
			table.onReport(report("g1", "a", 5, 2, 10), 0);
			table.onReport(report("g1", "a", 6, 2, 10), 1_000);
			table.onReport(report("g2", "a", 1, 0, 0), 2_000);
			table.onReport(report("g3", "b", 1, 0, 0), 2_000);
			assertThat(table.sum(SERVICE, 2_000)).containsExactly("a", new SlotDemand(7, 2 + 10 * 0.5), "b",
					new SlotDemand(1, 0));
			assertThat(table.sum(SERVICE, 4_500)).containsExactly("a", new SlotDemand(1, 0), "b", new SlotDemand(1, 0));
			assertThat(table.reporting(2_000)).isEqualTo(3);
			assertThat(table.reporting(9_000)).isEqualTo(0);
		}

		private DemandReport report(String gateway, String dataCentre, long running, long waiting, double refused) {
			return new DemandReport(gateway, dataCentre,
					List.of(new ServiceDemand(SERVICE, running, waiting, 20, refused, 500)));
		}

	}

	/**
	 * Guards against orders that are repeated without end, and against engines that are
	 * missing because an order was lost.
	 */
	@Nested
	class Orders {

		@Test
		void orderThatIsNotFollowedIsRepeatedWithDoublingPauses() {
			EngineCountPlannerTests.this.followsOrders = false;
			unserved(20, 20);
			run(40 * BOOT_MILLIS);
			List<Long> times = EngineCountPlannerTests.this.sent.stream()
				.filter((order) -> order.order().dataCentre().equals("a"))
				.map(Sent::sentMillis)
				.toList();
			assertThat(times.stream().map((time) -> (time - times.getFirst()) / BOOT_MILLIS).toList())
				.containsExactly(0L, 2L, 6L, 14L, 30L)
				.inOrder();
		}

		@Test
		void refusedOrderIsSentAgainLaterAndLater() {
			EngineCountPlannerTests.this.acceptsOrders = false;
			unserved(20, 0);
			run(BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.sent.size()).isAtMost(8);
			EngineCountPlannerTests.this.acceptsOrders = true;
			run(4 * BOOT_MILLIS);
			assertThat(EngineCountPlannerTests.this.engines.get("a")).isEqualTo(wanted().get("a"));
		}

		@Test
		void newLeaderDoesNotRepeatOrdersThatAreUnderWay() {
			unserved(20, 20);
			run(3_000);
			EngineCountPlannerTests.this.planner = new EngineCountPlanner(
					EngineCountPlannerTests.this.planner.ordered());
			run(BOOT_MILLIS);
			assertThat(orders()).hasSize(2);
		}

	}

	/**
	 * Order with the time at which it was sent.
	 */
	private record Sent(ScaleOrder order, long sentMillis) {
	}

}
