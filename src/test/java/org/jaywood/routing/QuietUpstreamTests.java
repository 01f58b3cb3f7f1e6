package org.jaywood.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against new calls that are sent to an upstream whose running attempts have all
 * gone quiet, and against upstreams that are taken for quiet and are not.
 */
class QuietUpstreamTests {

	private static final long NOW = 100_000;

	private static final long EVENT_MILLIS = 50;

	private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

	QuietUpstreamTests() {
		this.dispatcher.onRouteTable(RoutingFixtures.table(), NOW);
	}

	private Placement place(String service, long nowMillis) {
		Placement placement = tryPlace(service, nowMillis).orElseThrow();
		placement.activity().onSent(nowMillis);
		return placement;
	}

	private Optional<Placement> tryPlace(String service, long nowMillis) {
		return RoutingFixtures
			.placementOf(this.dispatcher.enqueue(RoutingFixtures.requirements(service, false), nowMillis));
	}

	private void reportEngine(String id, int running, int queued, long nowMillis) {
		this.dispatcher.onReport(id,
				new UpstreamReport(id, running, queued, false, 1, true, 0, new LoadedWeights("model", 1, 0, 16)),
				nowMillis);
	}

	private static void sendEvents(Placement placement, long fromMillis, long untilMillis) {
		LongStream.iterate(fromMillis, (millis) -> millis <= untilMillis, (millis) -> millis + EVENT_MILLIS)
			.forEach((millis) -> {
				placement.activity().onProgress(millis);
				placement.activity().onForwarded(millis);
			});
	}

	@Test
	void usualDelayIsNotRaisedByAFewSilences() {
		UsualDelay delay = new UsualDelay(50);
		IntStream.range(0, 100).forEach((number) -> delay.record((number % 5 == 0) ? 1_300 : 50));
		assertThat(delay.millis()).isLessThan(100.0);
	}

	@Test
	void requirementsOfAResumedStreamMayStillUseAQuietEngine() {
		this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
		reportEngine("a", 0, 0, NOW);
		Placement stream = place(RoutingFixtures.ENGINE_SERVICE, NOW);
		sendEvents(stream, NOW + 50, NOW + 100);
		reportEngine("a", 1, 0, NOW + 2_000);
		CallRequirements started = new CallRequirements("call", RoutingFixtures.ENGINE_SERVICE, Set.of(), "", 1,
				CallRequirements.QueueClass.STARTED, true, CallCost.UNKNOWN, OptionalLong.empty(), Set.of());
		assertThat(RoutingFixtures.placementOf(this.dispatcher.enqueue(started, NOW + 2_000))).isPresent();
	}

	@Test
	void upstreamIsNotEjectedWhenOthersAnsweredCallsAtWhichItWasSilent() {
		this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
		reportEngine("a", 0, 0, NOW);
		IntStream.range(0, 5)
			.forEach((number) -> this.dispatcher.recordEnd(place(RoutingFixtures.ENGINE_SERVICE, NOW), Outcome.SILENT,
					NOW));
		assertThat(tryPlace(RoutingFixtures.ENGINE_SERVICE, NOW + 1)).isPresent();
	}

	/**
	 * Streams at engine a, while the idle engine b, in another region, has the higher
	 * cost until a is quiet.
	 */
	@Nested
	class Streams {

		private static final long LAST_EVENT_MILLIS = NOW + 500;

		private final Dispatcher dispatcher = QuietUpstreamTests.this.dispatcher;

		private final List<Placement> streams;

		Streams() {
			this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			reportEngine("a", 0, 0, NOW);
			this.streams = IntStream.range(0, 2)
				.mapToObj((number) -> place(RoutingFixtures.ENGINE_SERVICE, NOW))
				.toList();
			this.streams.forEach((stream) -> sendEvents(stream, NOW + 100, LAST_EVENT_MILLIS));
			this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a"),
					RoutingFixtures.engine("b", "nayoro-a", "dohoku", 1)), LAST_EVENT_MILLIS);
		}

		private String engineOfNextCall(int runningAtA, int queuedAtA, long nowMillis) {
			reportEngine("a", runningAtA, queuedAtA, nowMillis);
			reportEngine("b", RoutingFixtures.SLOTS, 0, nowMillis);
			return place(RoutingFixtures.ENGINE_SERVICE, nowMillis).upstream().id();
		}

		@Test
		void newCallsAvoidAnEngineWhoseStreamsAreAllQuiet() {
			assertThat(engineOfNextCall(2, 0, LAST_EVENT_MILLIS + 600)).isEqualTo("b");
		}

		@Test
		void newCallsGoToAnEngineWhoseStreamsGoOn() {
			assertThat(engineOfNextCall(2, 0, LAST_EVENT_MILLIS + 100)).isEqualTo("a");
		}

		@Test
		void oneStreamThatGoesOnIsEnough() {
			sendEvents(this.streams.getFirst(), LAST_EVENT_MILLIS, LAST_EVENT_MILLIS + 600);
			assertThat(engineOfNextCall(2, 0, LAST_EVENT_MILLIS + 600)).isEqualTo("a");
		}

		@Test
		void engineIsUsedAgainWhenAStreamGoesOn() {
			sendEvents(this.streams.getFirst(), LAST_EVENT_MILLIS + 600, LAST_EVENT_MILLIS + 600);
			assertThat(engineOfNextCall(2, 0, LAST_EVENT_MILLIS + 601)).isEqualTo("a");
		}

		private void fillB(long nowMillis) {
			reportEngine("a", 2, 0, nowMillis);
			reportEngine("b", RoutingFixtures.SLOTS + 1, 0, nowMillis);
		}

		@Test
		void newCallsWaitForAnotherEngineWhileOneIsQuiet() {
			fillB(LAST_EVENT_MILLIS + 600);
			assertThat(tryPlace(RoutingFixtures.ENGINE_SERVICE, LAST_EVENT_MILLIS + 600)).isEmpty();
		}

		@Test
		void waitingCallIsPlacedOnTheQuietEngineWhenItGoesOn() {
			fillB(LAST_EVENT_MILLIS + 600);
			QueuedCall waiting = this.dispatcher
				.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), LAST_EVENT_MILLIS + 600);
			sendEvents(this.streams.getFirst(), LAST_EVENT_MILLIS + 700, LAST_EVENT_MILLIS + 700);
			this.dispatcher.onTick(LAST_EVENT_MILLIS + 701);
			assertThat(RoutingFixtures.placementOf(waiting).orElseThrow().upstream().id()).isEqualTo("a");
		}

		@Test
		void quietEngineIsUsedIfAllAreQuiet() {
			CallRequirements notAtA = new CallRequirements("call", RoutingFixtures.ENGINE_SERVICE, Set.of(), "", 1,
					CallRequirements.QueueClass.ON_TIME, true, CallCost.UNKNOWN, OptionalLong.empty(), Set.of("a"));
			Placement atB = RoutingFixtures.placementOf(this.dispatcher.enqueue(notAtA, LAST_EVENT_MILLIS))
				.orElseThrow();
			assertThat(atB.upstream().id()).isEqualTo("b");
			atB.activity().onSent(LAST_EVENT_MILLIS);
			this.dispatcher.recordEnd(atB, Outcome.SILENT, LAST_EVENT_MILLIS + 600);
			long laterMillis = LAST_EVENT_MILLIS + 600;
			reportEngine("a", 2, 0, laterMillis);
			reportEngine("b", RoutingFixtures.SLOTS + 1, 0, laterMillis);
			assertThat(tryPlace(RoutingFixtures.ENGINE_SERVICE, laterMillis)).isPresent();
		}

		@Test
		void placesAreNotFilledAgainAfterOthersAnsweredCalls() {
			long laterMillis = LAST_EVENT_MILLIS + 600;
			fillB(LAST_EVENT_MILLIS);
			place(RoutingFixtures.ENGINE_SERVICE, LAST_EVENT_MILLIS);
			this.dispatcher.recordEnd(this.streams.getFirst(), Outcome.SILENT, laterMillis);
			fillB(laterMillis + 100);
			assertThat(tryPlace(RoutingFixtures.ENGINE_SERVICE, laterMillis + 100)).isEmpty();
		}

		@Test
		void oneQuietStreamKeepsNoCallFromAnEngineThatIsTheOnlyFreeOne() {
			this.dispatcher.recordEnd(this.streams.getFirst(), Outcome.CANCELLED, LAST_EVENT_MILLIS);
			reportEngine("a", 1, 0, LAST_EVENT_MILLIS + 900);
			reportEngine("b", RoutingFixtures.SLOTS + 1, 0, LAST_EVENT_MILLIS + 900);
			assertThat(tryPlace(RoutingFixtures.ENGINE_SERVICE, LAST_EVENT_MILLIS + 900)).isPresent();
		}

		@Test
		void startedCallMayUseAQuietEngine() {
			fillB(LAST_EVENT_MILLIS + 600);
			reportEngine("b", RoutingFixtures.SLOTS + 3, 0, LAST_EVENT_MILLIS + 600);
			CallRequirements started = new CallRequirements("call", RoutingFixtures.ENGINE_SERVICE, Set.of(), "", 1,
					CallRequirements.QueueClass.STARTED, true, CallCost.UNKNOWN, OptionalLong.empty(), Set.of());
			assertThat(RoutingFixtures.placementOf(this.dispatcher.enqueue(started, LAST_EVENT_MILLIS + 600)))
				.isPresent();
		}

		@Test
		void hedgeIsNotPlacedOnAQuietEngine() {
			long laterMillis = LAST_EVENT_MILLIS + 600;
			reportEngine("a", 2, 0, laterMillis);
			reportEngine("b", RoutingFixtures.SLOTS + 1, 0, laterMillis);
			assertThat(this.dispatcher
				.placeImmediately(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), laterMillis)
				.isPresent()).isFalse();
		}

		@Test
		void streamWhoseCallerReadsSlowlyIsNotQuiet() {
			this.streams.forEach((stream) -> stream.activity().onProgress(LAST_EVENT_MILLIS));
			assertThat(engineOfNextCall(2, 0, LAST_EVENT_MILLIS + 600)).isEqualTo("a");
		}

		@Test
		void oneQuietStreamBesideCallsOfOtherGatewaysIsNotEnough() {
			this.dispatcher.recordEnd(this.streams.getFirst(), Outcome.CANCELLED, LAST_EVENT_MILLIS);
			assertThat(engineOfNextCall(2, 0, LAST_EVENT_MILLIS + 500)).isEqualTo("a");
		}

		@Test
		void oneQuietStreamThatIsTheOnlyCallIsEnough() {
			this.dispatcher.recordEnd(this.streams.getFirst(), Outcome.CANCELLED, LAST_EVENT_MILLIS);
			assertThat(engineOfNextCall(1, 0, LAST_EVENT_MILLIS + 500)).isEqualTo("b");
		}

		@Test
		void engineStaysQuietForAMomentAfterItsCallersHaveLeft() {
			long laterMillis = LAST_EVENT_MILLIS + 600;
			this.streams.forEach((stream) -> this.dispatcher.recordEnd(stream, Outcome.CANCELLED, laterMillis));
			assertThat(engineOfNextCall(0, 0, laterMillis + 100)).isEqualTo("b");
			assertThat(engineOfNextCall(0, 0, laterMillis + 1_000)).isEqualTo("a");
		}

	}

	/**
	 * Calls at engine a that have not begun.
	 */
	@Nested
	class Prefill {

		private final Dispatcher dispatcher = QuietUpstreamTests.this.dispatcher;

		private String engineOfNextCall(int queuedAtA, long nowMillis) {
			this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			reportEngine("a", 0, 0, NOW);
			place(RoutingFixtures.ENGINE_SERVICE, NOW);
			place(RoutingFixtures.ENGINE_SERVICE, NOW);
			this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a"),
					RoutingFixtures.engine("b", "nayoro-a", "dohoku", 1)), nowMillis);
			reportEngine("a", 2 - queuedAtA, queuedAtA, nowMillis);
			reportEngine("b", RoutingFixtures.SLOTS, 0, nowMillis);
			return place(RoutingFixtures.ENGINE_SERVICE, nowMillis).upstream().id();
		}

		@Test
		void isNoSilenceForLongerWhileTheEngineReportsQueuedCalls() {
			assertThat(engineOfNextCall(1, NOW + 900)).isEqualTo("a");
		}

		@Test
		void thatBeginsNowhereInAQueueIsSilence() {
			assertThat(engineOfNextCall(1, NOW + 2_000)).isEqualTo("b");
		}

		@Test
		void isNoSilenceForTheUsualTime() {
			assertThat(engineOfNextCall(0, NOW + 400)).isEqualTo("a");
		}

		@Test
		void thatTakesMuchLongerThanUsualIsSilence() {
			assertThat(engineOfNextCall(0, NOW + 2_000)).isEqualTo("b");
		}

	}

	/**
	 * Calls at plain upstreams, whose only progress is their answer.
	 */
	@Nested
	class PlainCalls {

		private final Dispatcher dispatcher = QuietUpstreamTests.this.dispatcher;

		private static Upstream plain(String id, int host) {
			return new Upstream(id, RoutingFixtures.PLAIN_SERVICE, new Address("10.0.2." + host, 80), "kushiro-a",
					"doto", 40, false, 0, 1, null);
		}

		@Test
		void avoidAnUpstreamThatAnswersNone() {
			this.dispatcher.onFleet(RoutingFixtures.fleet(plain("a", 1)), NOW);
			place(RoutingFixtures.PLAIN_SERVICE, NOW);
			place(RoutingFixtures.PLAIN_SERVICE, NOW);
			this.dispatcher.onFleet(RoutingFixtures.fleet(plain("a", 1), plain("b", 2)), NOW + 700);
			List<String> chosen = IntStream.range(0, 4)
				.mapToObj((number) -> place(RoutingFixtures.PLAIN_SERVICE, NOW + 700).upstream().id())
				.toList();
			assertThat(chosen).containsExactly("b", "b", "b", "b");
		}

		@Test
		void useAQuietUpstreamRatherThanWait() {
			this.dispatcher.onFleet(RoutingFixtures.fleet(plain("a", 1)), NOW);
			place(RoutingFixtures.PLAIN_SERVICE, NOW);
			place(RoutingFixtures.PLAIN_SERVICE, NOW);
			this.dispatcher.onFleet(RoutingFixtures.fleet(plain("a", 1), plain("b", 2)), NOW + 2_000);
			List<String> chosen = IntStream.range(0, 30)
				.mapToObj((number) -> place(RoutingFixtures.PLAIN_SERVICE, NOW + 2_000).upstream().id())
				.toList();
			assertThat(chosen).contains("a");
		}

		@Test
		void goToAnUpstreamThatAnswersOthers() {
			this.dispatcher.onFleet(RoutingFixtures.fleet(plain("a", 1)), NOW);
			place(RoutingFixtures.PLAIN_SERVICE, NOW);
			Placement answered = place(RoutingFixtures.PLAIN_SERVICE, NOW);
			this.dispatcher.onFleet(RoutingFixtures.fleet(plain("a", 1), plain("b", 2)), NOW + 650);
			this.dispatcher.recordEnd(answered, Outcome.ANSWERED, NOW + 650);
			List<String> chosen = IntStream.range(0, 4)
				.mapToObj((number) -> place(RoutingFixtures.PLAIN_SERVICE, NOW + 700).upstream().id())
				.toList();
			assertThat(chosen).contains("a");
		}

	}

}
