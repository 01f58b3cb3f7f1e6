package org.jaywood.routing;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against notices of engines that are lost with the list of upstreams or a restart
 * of the engine, and against a rush of calls at the end of a pause.
 */
class DispatcherNoticeTests {

	private static final long NOW = 1_000_000;

	private static final long PAUSE_MILLIS = 3_000;

	private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

	private final Upstream engine = RoutingFixtures.engine("a");

	@BeforeEach
	void start() {
		this.dispatcher.onRouteTable(RoutingFixtures.table(), NOW);
		this.dispatcher.onFleet(RoutingFixtures.fleet(this.engine), NOW);
	}

	private QueuedCall enqueue(long nowMillis) {
		return this.dispatcher.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), nowMillis);
	}

	private boolean placed(long nowMillis) {
		QueuedCall queuedCall = enqueue(nowMillis);
		this.dispatcher.dequeue(queuedCall);
		return RoutingFixtures.placementOf(queuedCall).isPresent();
	}

	/**
	 * The notice of leaving.
	 */
	@Nested
	class Leaving {

		@Test
		void noticeStaysWhenAnOlderListComes() {
			DispatcherNoticeTests.this.dispatcher.onLeaving(DispatcherNoticeTests.this.engine, NOW);
			DispatcherNoticeTests.this.dispatcher.onFleet(RoutingFixtures.fleet(), NOW + 10);
			DispatcherNoticeTests.this.dispatcher.onFleet(RoutingFixtures.fleet(DispatcherNoticeTests.this.engine),
					NOW + 60_000);
			assertThat(placed(NOW + 60_000)).isFalse();
		}

		@Test
		void queuedCallsForTheEngineAreRefusedAtOnce() {
			IntStream.range(0, RoutingFixtures.SLOTS + 1).forEach((call) -> placed(NOW));
			QueuedCall queuedCall = enqueue(NOW);
			DispatcherNoticeTests.this.dispatcher.onLeaving(DispatcherNoticeTests.this.engine, NOW + 10);
			assertThat(queuedCall.placement().isCancelled()).isTrue();
		}

		@Test
		void engineThatTakesOverTheAddressDoesNotSuffer() {
			DispatcherNoticeTests.this.dispatcher.onLeaving(DispatcherNoticeTests.this.engine, NOW);
			Address address = DispatcherNoticeTests.this.engine.address();
			Upstream next = new Upstream("next", RoutingFixtures.ENGINE_SERVICE, address, "kushiro-a", "doto",
					RoutingFixtures.SLOTS, false, 0, 2, DispatcherNoticeTests.this.engine.weights());
			DispatcherNoticeTests.this.dispatcher.onFleet(RoutingFixtures.fleet(next), NOW + 10);
			assertThat(placed(NOW + 10)).isTrue();
		}

		@Test
		void noticeEndsWithTheIncarnation() {
			DispatcherNoticeTests.this.dispatcher.onLeaving(DispatcherNoticeTests.this.engine, NOW);
			Upstream restarted = new Upstream("a", RoutingFixtures.ENGINE_SERVICE,
					DispatcherNoticeTests.this.engine.address(), "kushiro-a", "doto", RoutingFixtures.SLOTS, false, 0,
					2, DispatcherNoticeTests.this.engine.weights());
			DispatcherNoticeTests.this.dispatcher.onFleet(RoutingFixtures.fleet(restarted), NOW + 10);
			assertThat(placed(NOW + 10)).isTrue();
		}

	}

	/**
	 * The request for a pause.
	 */
	@Nested
	class Pause {

		@Test
		void callsComeBackGentlyAfterThePause() {
			DispatcherNoticeTests.this.dispatcher.onPause(DispatcherNoticeTests.this.engine, PAUSE_MILLIS, NOW);
			long endMillis = NOW + PAUSE_MILLIS;
			List<Boolean> placed = IntStream.range(0, RoutingFixtures.SLOTS)
				.mapToObj((call) -> placed(endMillis))
				.toList();
			assertThat(placed.stream().filter((each) -> each).count()).isEqualTo(1);
			DispatcherNoticeTests.this.dispatcher.onTick(endMillis + UpstreamNotices.RAMP_MILLIS);
			assertThat(placed(endMillis + UpstreamNotices.RAMP_MILLIS)).isTrue();
		}

		@Test
		void lastRequestOfTheEngineCounts() {
			DispatcherNoticeTests.this.dispatcher.onPause(DispatcherNoticeTests.this.engine, 10_000, NOW);
			DispatcherNoticeTests.this.dispatcher.onPause(DispatcherNoticeTests.this.engine, 1_000, NOW + 100);
			assertThat(placed(NOW + 1_000)).isFalse();
			assertThat(placed(NOW + 1_100)).isTrue();
		}

		@Test
		void endlessPauseIsBounded() {
			DispatcherNoticeTests.this.dispatcher.onPause(DispatcherNoticeTests.this.engine, Long.MAX_VALUE, NOW);
			assertThat(placed(NOW + UpstreamNotices.MAX_PAUSE_MILLIS - 1)).isFalse();
			assertThat(placed(NOW + UpstreamNotices.MAX_PAUSE_MILLIS)).isTrue();
		}

		@Test
		void pauseStaysWhenTheListLosesTheEngineForAMoment() {
			DispatcherNoticeTests.this.dispatcher.onPause(DispatcherNoticeTests.this.engine, PAUSE_MILLIS, NOW);
			DispatcherNoticeTests.this.dispatcher.onFleet(RoutingFixtures.fleet(), NOW + 10);
			DispatcherNoticeTests.this.dispatcher.onFleet(RoutingFixtures.fleet(DispatcherNoticeTests.this.engine),
					NOW + 20);
			assertThat(placed(NOW + 30)).isFalse();
		}

	}

}
