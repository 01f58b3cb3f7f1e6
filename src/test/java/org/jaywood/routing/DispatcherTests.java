package org.jaywood.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DispatcherTests {

	private static final long NOW = 100_000;

	private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

	DispatcherTests() {
		this.dispatcher.onRouteTable(RoutingFixtures.table(), NOW);
	}

	private List<QueuedCall> enqueue(int count, boolean late) {
		return IntStream.range(0, count)
			.mapToObj((number) -> this.dispatcher
				.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, late), NOW))
			.toList();
	}

	private static UpstreamReport report(String id, int running, int queued, boolean busy) {
		return new UpstreamReport(id, running, queued, busy, 1, true, 0, new LoadedWeights("model", 1, 0, 16));
	}

	/**
	 * Verifies that an engine gets at most one call more than its slots and that queued
	 * calls that can be on time are placed before late ones.
	 */
	@Nested
	class Overload {

		@Test
		void callsBeyondCapacityAreQueued() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", 0, 0, false), NOW);
			long placed = enqueue(20, false).stream().filter((queuedCall) -> queuedCall.placement().isDone()).count();
			assertThat(placed).isEqualTo(RoutingFixtures.SLOTS + 1);
		}

		@Test
		void callIsQueuedWhenOtherGatewaysFillTheEngine() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", RoutingFixtures.SLOTS, 1, false), NOW);
			assertThat(enqueue(1, false).getFirst().placement().isDone()).isFalse();
		}

		@Test
		void freedCapacityGoesToOnTimeCallBeforeLateCall() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", 0, 0, false), NOW);
			List<QueuedCall> running = enqueue(RoutingFixtures.SLOTS + 1, false);
			QueuedCall late = enqueue(1, true).getFirst();
			QueuedCall onTime = enqueue(1, false).getFirst();
			DispatcherTests.this.dispatcher.recordEnd(running.getFirst().placement().getNow(null), Outcome.ANSWERED,
					NOW + 1);
			assertThat(onTime.placement().isDone()).isTrue();
			assertThat(late.placement().isDone()).isFalse();
		}

		@Test
		void dequeuedCallIsNotPlaced() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", RoutingFixtures.SLOTS, 1, false), NOW);
			QueuedCall queuedCall = enqueue(1, false).getFirst();
			assertThat(DispatcherTests.this.dispatcher.dequeue(queuedCall)).isTrue();
			DispatcherTests.this.dispatcher.onReport("a", report("a", 0, 0, false), NOW + 1);
			assertThat(queuedCall.placement().isDone()).isFalse();
		}

	}

	/**
	 * Guards against calls that are placed on an upstream which must not run them.
	 */
	@Nested
	class Eligibility {

		@Test
		void leavingUpstreamIsNotEligible() {
			DispatcherTests.this.dispatcher
				.onFleet(RoutingFixtures.fleet(RoutingFixtures.leaving(RoutingFixtures.engine("a"))), NOW);
			assertThat(DispatcherTests.this.dispatcher
				.hasEligibleUpstream(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), NOW))
				.isFalse();
		}

		@Test
		void upstreamInClosedDataCentreIsNotEligible() {
			Fleet allOpen = RoutingFixtures.fleet(RoutingFixtures.engine("a"));
			DispatcherTests.this.dispatcher.onFleet(new Fleet(allOpen.upstreams(), Set.of("kushiro-a"), Map.of()), NOW);
			assertThat(DispatcherTests.this.dispatcher
				.hasEligibleUpstream(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), NOW))
				.isFalse();
		}

		@Test
		void upstreamOutsideRegionsOfCallIsNotEligible() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			CallRequirements boundToRegion = new CallRequirements("call", RoutingFixtures.ENGINE_SERVICE,
					Set.of("donan"), "", 1, CallRequirements.QueueClass.ON_TIME, true, CallCost.UNKNOWN,
					OptionalLong.empty(), Set.of());
			assertThat(DispatcherTests.this.dispatcher.hasEligibleUpstream(boundToRegion, NOW)).isFalse();
		}

		@Test
		void engineWithoutAllLayersIsNotEligible() {
			Upstream partial = new Upstream("a", RoutingFixtures.ENGINE_SERVICE, RoutingFixtures.engine("a").address(),
					"kushiro-a", "doto", 4, false, 0, 1, new LoadedWeights("model", 1, 0, 8));
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(partial), NOW);
			assertThat(DispatcherTests.this.dispatcher
				.hasEligibleUpstream(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), NOW))
				.isFalse();
		}

		@Test
		void callIsQueuedWhileEngineChangesWeights() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", 0, 0, true), NOW);
			assertThat(enqueue(1, false).getFirst().placement().isDone()).isFalse();
		}

		@Test
		void newerTargetVersionDoesNotExtendGracePeriodOfEarlierOne() {
			Fleet.TargetVersion second = new Fleet.TargetVersion(2, NOW);
			Fleet.TargetVersion third = new Fleet.TargetVersion(3, NOW + 4_000);
			Fleet fleet = new Fleet(RoutingFixtures.view(Long.MIN_VALUE, RoutingFixtures.engine("a")), Set.of(),
					Map.of("model", List.of(second, third)));
			DispatcherTests.this.dispatcher.onFleet(fleet, NOW);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			assertThat(DispatcherTests.this.dispatcher.hasEligibleUpstream(requirements, NOW + 6_999)).isTrue();
			assertThat(DispatcherTests.this.dispatcher.hasEligibleUpstream(requirements, NOW + 7_000)).isFalse();
		}

		@Test
		void callMayBeginOnTheOldVersionForAWhileAfterTheGracePeriod() {
			Upstream engine = RoutingFixtures.engine("a");
			Fleet fleet = new Fleet(RoutingFixtures.view(Long.MIN_VALUE, engine), Set.of(),
					Map.of("model", List.of(new Fleet.TargetVersion(2, NOW))));
			DispatcherTests.this.dispatcher.onFleet(fleet, NOW);
			assertThat(DispatcherTests.this.dispatcher.beginsTooLate(engine, NOW + 7_799)).isFalse();
			assertThat(DispatcherTests.this.dispatcher.beginsTooLate(engine, NOW + 7_800)).isTrue();
		}

		@Test
		void callMayBeginAtAnEngineThatServesTheNewVersionByNow() {
			Upstream engine = RoutingFixtures.engine("a");
			Fleet fleet = new Fleet(RoutingFixtures.view(Long.MIN_VALUE, engine), Set.of(),
					Map.of("model", List.of(new Fleet.TargetVersion(2, NOW))));
			DispatcherTests.this.dispatcher.onFleet(fleet, NOW);
			DispatcherTests.this.dispatcher.onReport("a",
					new UpstreamReport("a", 0, 0, false, 1, true, 0, new LoadedWeights("model", 2, 0, 16)),
					NOW + 7_900);
			assertThat(DispatcherTests.this.dispatcher.beginsTooLate(engine, NOW + 8_000)).isFalse();
		}

	}

	/**
	 * Verifies that a store outage extends the grace period of a target version. A target
	 * version that is set shortly before or during an outage may reach the engines only
	 * after it; without the extension no engine would be eligible then.
	 */
	@Nested
	class TargetVersionDuringStoreOutage {

		private static final long OUTAGE_END_MILLIS = NOW + 10_000;

		TargetVersionDuringStoreOutage() {
			Fleet fleet = new Fleet(RoutingFixtures.view(Long.MIN_VALUE, RoutingFixtures.engine("a")), Set.of(),
					Map.of("model", List.of(new Fleet.TargetVersion(2, NOW))));
			DispatcherTests.this.dispatcher.onFleet(fleet, NOW);
		}

		private void sendReports(boolean hasStoreContact, long fromMillis, long toMillis) {
			for (long nowMillis = fromMillis; nowMillis <= toMillis; nowMillis += 450) {
				DispatcherTests.this.dispatcher.onReport("a", new UpstreamReport("a", 0, 0, false, 4, hasStoreContact,
						0, new LoadedWeights("model", 1, 0, 16)), nowMillis);
			}
		}

		private boolean hasEligibleEngine(long nowMillis) {
			return DispatcherTests.this.dispatcher
				.hasEligibleUpstream(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), nowMillis);
		}

		@Test
		void gracePeriodStartsAtEndOfOutage() {
			sendReports(true, NOW, NOW + 3_000);
			sendReports(false, NOW + 3_450, OUTAGE_END_MILLIS);
			sendReports(true, OUTAGE_END_MILLIS + 100, OUTAGE_END_MILLIS + 100);
			assertThat(hasEligibleEngine(OUTAGE_END_MILLIS + 6_000)).isTrue();
			assertThat(hasEligibleEngine(OUTAGE_END_MILLIS + 7_100)).isFalse();
		}

		@Test
		void gracePeriodIsNotExtendedWhileAgentsHaveStoreContact() {
			sendReports(true, NOW, OUTAGE_END_MILLIS);
			assertThat(hasEligibleEngine(NOW + 7_000)).isFalse();
		}

		@Test
		void gracePeriodIsNotExtendedByShortStoreOutage() {
			sendReports(true, NOW, NOW + 6_000);
			sendReports(false, NOW + 6_100, NOW + 6_600);
			assertThat(hasEligibleEngine(NOW + 7_000)).isFalse();
		}

		@Test
		void gracePeriodThatEndedBeforeOutageIsNotExtended() {
			sendReports(true, NOW, NOW + 12_000);
			sendReports(false, NOW + 12_100, NOW + 20_000);
			assertThat(hasEligibleEngine(NOW + 20_000)).isFalse();
		}

	}

	/**
	 * Guards against upstreams that are dropped because of a store outage, and against
	 * ones that are kept although they no longer exist.
	 */
	@Nested
	class MissingEntry {

		@Test
		void entryMissingAfterStoreOutageIsKeptForGracePeriod() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			Fleet empty = new Fleet(RoutingFixtures.view(NOW + 1_000), Set.of(), Map.of());
			DispatcherTests.this.dispatcher.onFleet(empty, NOW + 1_000);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			assertThat(DispatcherTests.this.dispatcher.hasEligibleUpstream(requirements, NOW + 3_000)).isTrue();
			assertThat(DispatcherTests.this.dispatcher.hasEligibleUpstream(requirements, NOW + 3_300)).isFalse();
		}

		@Test
		void entryRemovedWithoutStoreOutageIsDroppedImmediately() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(), NOW + 1);
			assertThat(DispatcherTests.this.dispatcher
				.hasEligibleUpstream(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), NOW + 1))
				.isFalse();
		}

	}

	/**
	 * Verifies that calls go to the incarnation of an engine that was started after a
	 * power loss, not to the earlier one whose entry is still in the list.
	 */
	@Nested
	class PowerLoss {

		private final Upstream before = engineBornAt("before", 5);

		private final Upstream after = engineBornAt("after", 9);

		private Upstream engineBornAt(String id, long bornMillis) {
			// The id determines the address, so all these engines have the same address.
			Upstream engine = RoutingFixtures.engine("same");
			return new Upstream(id, engine.service(), engine.address(), engine.dataCentre(), engine.region(),
					engine.slots(), false, 0, bornMillis, engine.weights());
		}

		private Set<String> idsOfPlacedUpstreams() {
			return enqueue(RoutingFixtures.SLOTS, false).stream()
				.map(RoutingFixtures::placementOf)
				.flatMap(Optional::stream)
				.map((placement) -> placement.upstream().id())
				.collect(Collectors.toSet());
		}

		@Test
		void callsGoToYoungestEntryOfAddress() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(this.before, this.after), NOW);
			assertThat(idsOfPlacedUpstreams()).containsExactly("after");
		}

		@Test
		void gatewaySubscribesToLatestStartedEngineOfAddress() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(engineBornAt("x", 5), engineBornAt("y", 9)),
					NOW);
			assertThat(DispatcherTests.this.dispatcher.subscribedEngines().values()).containsExactly("y");
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(engineBornAt("x", 11), engineBornAt("y", 9)),
					NOW + 1);
			assertThat(DispatcherTests.this.dispatcher.subscribedEngines().values()).containsExactly("x");
		}

		@Test
		void missingEntryIsDroppedWhenNewerIncarnationHasItsAddress() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(this.before), NOW);
			Fleet fleetAfterOutage = new Fleet(RoutingFixtures.view(NOW + 1, this.after), Set.of(), Map.of());
			DispatcherTests.this.dispatcher.onFleet(fleetAfterOutage, NOW + 1);
			assertThat(idsOfPlacedUpstreams()).containsExactly("after");
		}

		@Test
		void entryOfOtherServiceDoesNotReplaceEntryOfSameAddress() {
			Upstream other = new Upstream("other", "unknown", this.before.address(), "kushiro-a", "doto", 4, false, 0,
					100, null);
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(this.before, other), NOW);
			assertThat(idsOfPlacedUpstreams()).containsExactly("before");
		}

	}

	/**
	 * Verifies that the gateways together place no more calls on a cold engine than its
	 * cold limit.
	 */
	@Nested
	class ColdLimit {

		@Test
		void gatewayPlacesAtMostItsShareOfColdLimit() {
			Upstream manySlots = new Upstream("a", RoutingFixtures.ENGINE_SERVICE,
					RoutingFixtures.engine("a").address(), "kushiro-a", "doto", 500, false, 3_000, 1,
					new LoadedWeights("model", 1, 0, 16));
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(manySlots), NOW);
			DispatcherTests.this.dispatcher.onReport("a",
					new UpstreamReport("a", 0, 0, false, 4, true, 0, new LoadedWeights("model", 1, 0, 16)), NOW);
			long placed = enqueue(100, false).stream().filter((queuedCall) -> queuedCall.placement().isDone()).count();
			// Cold rate of the service profile times coldOverage plus coldSlack.
			double coldLimit = 36 * 1.5 + 5;
			assertThat(placed * 4.0).isAtMost(coldLimit);
			assertThat(placed).isGreaterThan(0);
		}

	}

	/**
	 * Verifies that an engine gets no calls if its agent is connected but has sent no
	 * report for TIME_WITHOUT_REPORTS_MILLIS, since its VM has probably stopped.
	 */
	@Nested
	class AgentWithoutReports {

		private static final long TIME_WITHOUT_REPORTS_MILLIS = 1_000;

		@Test
		void engineGetsNoCallsWhenConnectedAgentStopsReporting() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", 0, 0, false), NOW);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			assertThat(RoutingFixtures
				.placementOf(DispatcherTests.this.dispatcher.enqueue(requirements, NOW + TIME_WITHOUT_REPORTS_MILLIS)))
				.isEmpty();
		}

		@Test
		void engineOfAnAgentGivenUpForItsSilenceGetsNoCalls() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", 0, 0, false), NOW);
			DispatcherTests.this.dispatcher.onAgentLost("a", AgentLoss.SILENT);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			assertThat(RoutingFixtures
				.placementOf(DispatcherTests.this.dispatcher.enqueue(requirements, NOW + TIME_WITHOUT_REPORTS_MILLIS)))
				.isEmpty();
		}

		@Test
		void engineWithDisconnectedAgentStillGetsCalls() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", 0, 0, false), NOW);
			DispatcherTests.this.dispatcher.onAgentLost("a", AgentLoss.CLOSED);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			assertThat(RoutingFixtures
				.placementOf(DispatcherTests.this.dispatcher.enqueue(requirements, NOW + TIME_WITHOUT_REPORTS_MILLIS)))
				.isPresent();
		}

	}

	/**
	 * Verifies that calls are not sent over a slow link on which they would wait until
	 * their callers give up.
	 */
	@Nested
	class DelayedReports {

		/**
		 * Report delay at which an engine is used only if no engine with timely reports
		 * has capacity.
		 */
		private static final long SHORT_DELAY_MILLIS = 300;

		/** Report delay at which an engine gets no calls, as if its VM had stopped. */
		private static final long LONG_DELAY_MILLIS = 1_000;

		private final CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE,
				false);

		private void report(String id, long delayMillis, long nowMillis) {
			DispatcherTests.this.dispatcher.onReportDelay(id, nowMillis - delayMillis, nowMillis);
			DispatcherTests.this.dispatcher.onReport(id, DispatcherTests.report(id, 0, 0, false), nowMillis);
		}

		private void reportWithShortDelay(String id) {
			report(id, 0, NOW - 1);
			report(id, SHORT_DELAY_MILLIS, NOW);
		}

		@Test
		void engineWithLongReportDelayGetsNoCalls() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			report("a", 0, NOW - 1);
			report("a", LONG_DELAY_MILLIS, NOW);
			assertThat(RoutingFixtures.placementOf(DispatcherTests.this.dispatcher.enqueue(this.requirements, NOW)))
				.isEmpty();
		}

		@Test
		void timelyEngineIsPreferredOverDelayedEngine() {
			DispatcherTests.this.dispatcher
				.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a"), RoutingFixtures.engine("b")), NOW);
			reportWithShortDelay("a");
			report("b", 0, NOW);
			Set<String> chosen = enqueue(RoutingFixtures.SLOTS + 1, false).stream()
				.map((queuedCall) -> queuedCall.placement().getNow(null).upstream().id())
				.collect(Collectors.toSet());
			assertThat(chosen).containsExactly("b");
		}

		/**
		 * Places three calls on engine a. 800 ms later, engine a reports the given number
		 * of running calls, and a new engine b reports that all its slots are in use.
		 * @return the engine on which the next call is placed
		 */
		private String engineOfNextCall(int runningReportedByA) {
			long laterMillis = NOW + 800;
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			report("a", 0, NOW);
			enqueue(3, false);
			DispatcherTests.this.dispatcher
				.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a"), RoutingFixtures.engine("b")), laterMillis);
			DispatcherTests.this.dispatcher.onReport("a", DispatcherTests.report("a", runningReportedByA, 0, false),
					laterMillis);
			DispatcherTests.this.dispatcher.onReport("b", DispatcherTests.report("b", RoutingFixtures.SLOTS, 0, false),
					laterMillis);
			return RoutingFixtures.placementOf(DispatcherTests.this.dispatcher.enqueue(this.requirements, laterMillis))
				.orElseThrow()
				.upstream()
				.id();
		}

		@Test
		void engineWithUndeliveredCallsIsLastChoice() {
			assertThat(engineOfNextCall(0)).isEqualTo("b");
		}

		@Test
		void engineThatReportsItsCallsStaysFirstChoice() {
			assertThat(engineOfNextCall(3)).isEqualTo("a");
		}

		@Test
		void hedgeIsNotPlacedOnDelayedEngine() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			reportWithShortDelay("a");
			assertThat(DispatcherTests.this.dispatcher.placeImmediately(this.requirements, NOW).isPresent()).isFalse();
		}

		@Test
		void delayedEngineIsUsedWhenThereIsNoTimelyOne() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			reportWithShortDelay("a");
			assertThat(RoutingFixtures.placementOf(DispatcherTests.this.dispatcher.enqueue(this.requirements, NOW)))
				.isPresent();
		}

	}

	/**
	 * Guards against a started call that is queued behind new ones while its caller waits
	 * for the rest of the answer.
	 */
	@Nested
	class StartedCalls {

		@Test
		void startedCallIsPlacedBeyondCapacity() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			DispatcherTests.this.dispatcher.onReport("a", report("a", RoutingFixtures.SLOTS, 1, false), NOW);
			QueuedCall notStarted = enqueue(1, false).getFirst();
			CallRequirements started = new CallRequirements("call", RoutingFixtures.ENGINE_SERVICE, Set.of(), "", 1,
					CallRequirements.QueueClass.STARTED, true, CallCost.UNKNOWN, OptionalLong.empty(), Set.of());
			QueuedCall queuedStarted = DispatcherTests.this.dispatcher.enqueue(started, NOW);
			assertThat(RoutingFixtures.placementOf(queuedStarted)).isPresent();
			assertThat(RoutingFixtures.placementOf(notStarted)).isEmpty();
		}

	}

	/**
	 * Guards against an upstream that fails and still gets calls.
	 */
	@Nested
	class Health {

		@Test
		void unreachableUpstreamIsEjected() {
			DispatcherTests.this.dispatcher
				.onFleet(RoutingFixtures.fleet(RoutingFixtures.plain("a"), RoutingFixtures.plain("b")), NOW);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.PLAIN_SERVICE, false);
			Placement first = DispatcherTests.this.dispatcher.enqueue(requirements, NOW).placement().getNow(null);
			DispatcherTests.this.dispatcher.recordEnd(first, Outcome.UNREACHABLE, NOW);
			IntStream.range(0, 5).forEach((number) -> {
				Placement next = DispatcherTests.this.dispatcher.enqueue(requirements, NOW + 1)
					.placement()
					.getNow(null);
				assertThat(next.upstream().id()).isNotEqualTo(first.upstream().id());
				DispatcherTests.this.dispatcher.recordEnd(next, Outcome.ANSWERED, NOW + 1);
			});
		}

		@Test
		void upstreamThatFailsHalfOfItsCallsGetsFewCalls() {
			DispatcherTests.this.dispatcher
				.onFleet(RoutingFixtures.fleet(RoutingFixtures.plain("a"), RoutingFixtures.plain("b")), NOW);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.PLAIN_SERVICE, false);
			int callsOfFailingUpstream = 0;
			for (int call = 0; call < 200; call++) {
				long nowMillis = NOW + call * 20L;
				Placement placement = DispatcherTests.this.dispatcher.enqueue(requirements, nowMillis)
					.placement()
					.getNow(null);
				boolean failed = placement.upstream().id().equals("a") && call % 2 == 0;
				callsOfFailingUpstream += placement.upstream().id().equals("a") ? 1 : 0;
				DispatcherTests.this.dispatcher.recordEnd(placement, failed ? Outcome.FAILED : Outcome.ANSWERED,
						nowMillis);
			}
			assertThat(callsOfFailingUpstream).isLessThan(60);
		}

	}

	/**
	 * Verifies that the estimated number of gateways is not too low, since each gateway
	 * divides the capacity of an engine by it and together they would exceed that
	 * capacity. Also verifies that calls do not go to engines without reports while
	 * others have free capacity.
	 */
	@Nested
	class ManyEngines {

		private static final int ENGINE_COUNT = 60;

		private final Upstream[] engines = IntStream.range(0, ENGINE_COUNT)
			.mapToObj((number) -> RoutingFixtures.engine("e" + number, "dc-" + number % 5, "region-" + number % 5, 1))
			.toArray(Upstream[]::new);

		ManyEngines() {
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(this.engines), NOW);
		}

		private void reportAll(int gateways, int running) {
			DispatcherTests.this.dispatcher.subscribedEngines()
				.values()
				.forEach((id) -> DispatcherTests.this.dispatcher.onReport(id, new UpstreamReport(id, running, 0, false,
						gateways, true, 0, new LoadedWeights("model", 1, 0, 16)), NOW));
		}

		@Test
		void gatewayCountIsEstimatedFromSubscribersPerEngine() {
			int subscribed = DispatcherTests.this.dispatcher.subscribedEngines().size();
			reportAll(6, 0);
			int gateways = DispatcherTests.this.dispatcher.lastReportedGateways(NOW);
			assertThat(gateways).isAtLeast(6 * ENGINE_COUNT / subscribed);
			assertThat(gateways).isAtMost(8 * ENGINE_COUNT / subscribed);
		}

		@Test
		void leavingEnginesDoNotChangeGatewayCount() {
			Upstream leaving = RoutingFixtures.leaving(RoutingFixtures.engine("b"));
			DispatcherTests.this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a"),
					RoutingFixtures.leaving(RoutingFixtures.engine("c", "dc-1", "region-1", 1)), leaving), NOW);
			DispatcherTests.this.dispatcher.onReport("a",
					new UpstreamReport("a", 0, 0, false, 6, true, 0, new LoadedWeights("model", 1, 0, 16)), NOW);
			assertThat(DispatcherTests.this.dispatcher.lastReportedGateways(NOW)).isEqualTo(6);
		}

		@Test
		void callsGoToSubscribedEngines() {
			reportAll(6, 0);
			Set<String> subscribed = Set.copyOf(DispatcherTests.this.dispatcher.subscribedEngines().values());
			Set<String> used = enqueue(40, false).stream()
				.map(RoutingFixtures::placementOf)
				.flatMap(Optional::stream)
				.map((placement) -> placement.upstream().id())
				.collect(Collectors.toSet());
			assertThat(subscribed).containsAtLeastElementsIn(used);
			assertThat(used).isNotEmpty();
		}

		@Test
		void callBoundToRegionIsPlacedOnUnsubscribedEngine() {
			reportAll(6, RoutingFixtures.SLOTS + 1);
			CallRequirements boundToRegion = new CallRequirements("call", RoutingFixtures.ENGINE_SERVICE,
					Set.of("region-3"), "", 1, CallRequirements.QueueClass.ON_TIME, true, CallCost.UNKNOWN,
					OptionalLong.empty(), Set.of());
			assertThat(RoutingFixtures.placementOf(DispatcherTests.this.dispatcher.enqueue(boundToRegion, NOW)))
				.isPresent();
		}

		@Test
		void enginesOfClosedDataCentresAreReplacedInSubset() {
			Set<String> closed = Set.of("dc-1", "dc-2");
			Fleet allOpen = RoutingFixtures.fleet(this.engines);
			DispatcherTests.this.dispatcher.onFleet(new Fleet(allOpen.upstreams(), closed, Map.of()), NOW);
			reportAll(6, 0);
			Set<String> used = enqueue(100, false).stream()
				.flatMap((queuedCall) -> RoutingFixtures.placementOf(queuedCall).stream())
				.map((placement) -> placement.upstream().id())
				.collect(Collectors.toSet());
			assertThat(used).hasSize(UpstreamSubset.MAX_ENGINES);
		}

	}

	/**
	 * Guards against capacity that stays occupied by a call whose caller left while it
	 * was queued.
	 */
	@Nested
	class CancelledCalls {

		@Test
		void placementOfCancelledCallIsReleased() {
			Dispatcher testDispatcher = new Dispatcher(RoutingFixtures.settings());
			testDispatcher.onRouteTable(RoutingFixtures.table(), NOW);
			testDispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			testDispatcher.onReport("a",
					new UpstreamReport("a", 0, 0, false, 1, true, 0, new LoadedWeights("model", 1, 0, 16)), NOW);
			List<QueuedCall> running = IntStream.range(0, RoutingFixtures.SLOTS + 1)
				.mapToObj((number) -> testDispatcher
					.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), NOW))
				.toList();
			QueuedCall cancelled = testDispatcher
				.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), NOW);
			cancelled.placement().cancel(false);
			testDispatcher.recordEnd(running.getFirst().placement().getNow(null), Outcome.ANSWERED, NOW + 1);
			testDispatcher.dequeue(cancelled);
			running.subList(1, running.size())
				.forEach((queuedCall) -> testDispatcher.recordEnd(queuedCall.placement().getNow(null), Outcome.ANSWERED,
						NOW + 2));
			assertThat(String.join(" ", testDispatcher.describe(NOW + 3))).contains("own=0");
		}

	}

}
