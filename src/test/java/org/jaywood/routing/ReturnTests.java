package org.jaywood.routing;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Simulates refused callers who come back when they are told to, and checks when that is
 * and what they get.
 */
class ReturnTests {

	private static ContentionSimulation simulation(boolean sharing, double load) {
		ContentionSimulation simulation = new ContentionSimulation(4, 8, sharing).withReturns();
		double perSecond = simulation.capacityPerSecond() / 4;
		for (int gateway = 0; gateway < 4; gateway++) {
			simulation.with(new ContentionSimulation.Source("a", 0, 0.3 * perSecond).at(gateway))
				.with(new ContentionSimulation.Source("b", 1, 0.3 * perSecond).at(gateway))
				.with(new ContentionSimulation.Source("c", 2, 0.2 * perSecond).at(gateway));
			Stream
				.of(new ContentionSimulation.Source("a", 0, 0.3 * load * perSecond),
						new ContentionSimulation.Source("b", 1, 0.3 * load * perSecond),
						new ContentionSimulation.Source("c", 2, 0.2 * load * perSecond))
				.filter((source) -> source.perSecond() > 0)
				.forEach((source) -> simulation.with(source.at(0).between(4_000, 8_000)));
		}
		return simulation;
	}

	private static double served(List<ContentionSimulation.Caller> callers, long fromMillis, long untilMillis) {
		return ContentionSimulation.served(callers,
				(caller) -> caller.cameMillis >= fromMillis && caller.cameMillis < untilMillis);
	}

	/**
	 * Guards against refused callers who are told times that they do not honour, or all
	 * the same time.
	 */
	@Nested
	class Times {

		@Test
		void timeIsAtMostAThirdOfWhatTheCallerHasLeft() {
			simulation(true, 2).run(12_000)
				.forEach((caller) -> caller.retryAfterMillis.forEach((millis) -> assertThat(millis).isAtMost(2_000)));
		}

		@Test
		void callersAreSpreadOverTheFirstSecondWhileNoRateIsKnown() {
			Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());
			dispatcher.onRouteTable(RoutingFixtures.table(ContentionSimulation.route(0), ContentionSimulation.route(1)),
					0);
			dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), 0);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			long[] millis = LongStream.range(0, 100)
				.map((number) -> dispatcher.retryAfterMillis(requirements, 6_000, 0))
				.sorted()
				.toArray();
			assertThat(millis[99] - millis[0]).isAtLeast(900);
			assertThat(millis[99]).isAtMost(1_150);
			assertThat(LongStream.range(1, 100).map((i) -> millis[(int) i] - millis[(int) i - 1]).max().orElse(0))
				.isAtMost(50);
		}

		@ParameterizedTest
		@ValueSource(strings = { "none", "unreachable", "without weights" })
		void callersReturnInTheLaterHalfWhileNoEngineServes(String state) {
			Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());
			dispatcher.onRouteTable(RoutingFixtures.table(ContentionSimulation.route(0), ContentionSimulation.route(1)),
					0);
			if (!state.equals("none")) {
				dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), 0);
				dispatcher.onReport("a",
						new UpstreamReport(state.equals("unreachable") ? "" : "a", 0, 0, false, 1, true, 0, null), 0);
			}
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			long[] millis = LongStream.range(0, 100)
				.map((number) -> dispatcher.retryAfterMillis(requirements, 6_000, 0))
				.sorted()
				.toArray();
			assertThat(millis[0]).isIn(Range.closed(1_000L, 1_050L));
			assertThat(millis[99]).isIn(Range.closed(1_950L, 2_000L));
		}

		@Test
		void nobodyIsRefusedByARateThatIsNotKnown() {
			Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());
			dispatcher.onRouteTable(RoutingFixtures.table(ContentionSimulation.route(0), ContentionSimulation.route(1)),
					0);
			dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), 0);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			assertThat(LongStream.range(0, 50).allMatch((number) -> dispatcher.offer(requirements, 230, 0).isPresent()))
				.isTrue();
		}

	}

	/**
	 * Guards against times that follow calls of long ago.
	 */
	@Nested
	class AfterABurst {

		private final PriorityDemand demand = new PriorityDemand();

		@Test
		void placesTakenDuringTheBurstDelayNobodyAfterIt() {
			PriorityFloor floor = new PriorityFloor(this.demand);
			SlotDemand slots = new SlotDemand(this.demand);
			ReturnSchedule returns = new ReturnSchedule(new WaitForecast(this.demand, floor, slots));
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			LongStream.range(0, 900).map((number) -> number * 10).forEach((millis) -> {
				slots.onBegin();
				slots.onPlaced(millis);
				slots.onEnd(new Placement(RoutingFixtures.engine("a"), requirements, SpilloverReason.LOCAL, 0, 1, 0, 0,
						millis - 100, null), Outcome.ANSWERED, millis);
				this.demand.onArrival((millis < 5_000 && millis % 200 != 0) ? 0 : 2, millis);
				if (millis > 4_500 && millis < 5_000) {
					returns.retryAfterMillis(2, 0, 0, 30_000, millis);
				}
			});
			assertThat(returns.retryAfterMillis(2, 0, 0, 30_000, 9_000)).isLessThan(500);
		}

		@Test
		void priorityWithoutCallsIsForgotten() {
			this.demand.onArrival(0, 0);
			LongStream.rangeClosed(0, 30).forEach((second) -> this.demand.onArrival(1, second * 1_000));
			assertThat(this.demand.priorities()).containsExactly(1);
			assertThat(this.demand.mostUrgent(1)).isTrue();
		}

		@Test
		void firstUrgentCallAfterALongTimeIsNoHighRate() {
			LongStream.rangeClosed(0, 30).forEach((second) -> this.demand.onArrival(1, second * 1_000));
			this.demand.onArrival(0, 30_001);
			assertThat(this.demand.moreUrgentPerMilli(1, 30_002)).isLessThan(0.001);
		}

	}

	/**
	 * Guards against callers whose returns keep an overload going after its cause.
	 */
	@Nested
	class Overload {

		@Test
		void urgentCallersReturnFirst() {
			List<ContentionSimulation.Caller> callers = simulation(true, 2).run(12_000);
			assertThat(meanRetryMillis(callers, 0)).isLessThan(meanRetryMillis(callers, 2));
		}

		@Test
		void usualServiceIsBackSoonAfterThreefoldLoad() {
			List<ContentionSimulation.Caller> callers = simulation(true, 2).run(20_000);
			assertThat(served(callers, 11_000, 14_000)).isAtLeast(served(callers, 1_000, 4_000) - 0.05);
		}

		@Test
		void asManyAreServedAsBefore() {
			assertThat(served(simulation(true, 2).run(20_000), 0, 14_000))
				.isAtLeast(served(simulation(false, 2).run(20_000), 0, 14_000) - 0.01);
		}

		@Test
		void callersWhoIgnoreTheTimeDoNotTakeFromTheOthers() {
			ContentionSimulation ignoring = simulation(true, 2).withImpatient("c");
			List<ContentionSimulation.Caller> callers = ignoring.run(20_000);
			List<ContentionSimulation.Caller> others = simulation(true, 2).run(20_000);
			assertThat(ContentionSimulation.served(callers, (caller) -> caller.source.priority() == 0))
				.isAtLeast(ContentionSimulation.served(others, (caller) -> caller.source.priority() == 0) - 0.05);
		}

		private static double meanRetryMillis(List<ContentionSimulation.Caller> callers, int priority) {
			return callers.stream()
				.filter((caller) -> caller.source.priority() == priority)
				.flatMap((caller) -> caller.retryAfterMillis.stream().limit(1))
				.mapToLong(Long::longValue)
				.average()
				.orElse(0);
		}

	}

	/**
	 * Guards against a slow return to the usual rate after all VMs have started anew,
	 * with the callers of two seconds coming at once.
	 */
	@Nested
	class Start {

		@Test
		void usualRateIsBackWithinThreeSecondsAndNoSecondFallsBelowHalf() {
			ContentionSimulation simulation = simulation(true, 0);
			double usualPerSecond = 0.8 * simulation.capacityPerSecond();
			for (int gateway = 0; gateway < 4; gateway++) {
				for (int priority = 0; priority < 3; priority++) {
					simulation.with(
							new ContentionSimulation.Source("returning", priority, usualPerSecond / 12 * 10).at(gateway)
								.between(0, 200));
				}
			}
			List<ContentionSimulation.Caller> callers = simulation.run(8_000);
			LongStream.range(0, 7)
				.forEach((second) -> assertThat(startedIn(callers, second))
					.isAtLeast((second < 3) ? 0.5 * usualPerSecond : 0.85 * usualPerSecond));
		}

		/**
		 * Engines have their weights some seconds after the gateways answer. Callers who
		 * return within a second were refused 2.5 times before that.
		 */
		@Test
		void callersReturnAboutWhenTheFirstEngineHasItsWeights() {
			long firstMillis = 2_300;
			List<ContentionSimulation.Caller> callers = simulation(true, 0).withLoading(firstMillis, 100).run(10_000);
			List<ContentionSimulation.Caller> early = callers.stream()
				.filter((caller) -> caller.cameMillis < firstMillis)
				.toList();
			double refusalsBefore = early.stream()
				.flatMap((caller) -> caller.refusedMillis.stream())
				.filter((millis) -> millis < firstMillis)
				.count() / (double) early.size();
			double refusedAgain = early.stream()
				.filter((caller) -> caller.refusedMillis.stream().anyMatch((millis) -> millis >= firstMillis))
				.count() / (double) early.size();
			assertThat(refusalsBefore).isLessThan(1.8);
			assertThat(refusedAgain).isLessThan(0.75);
		}

		private static double startedIn(List<ContentionSimulation.Caller> callers, long second) {
			return callers.stream()
				.filter((caller) -> caller.served() && caller.startedMillis / 1_000 == second)
				.count();
		}

	}

}
