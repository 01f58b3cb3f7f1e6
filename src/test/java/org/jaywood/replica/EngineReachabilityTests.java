package org.jaywood.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a sound engine that all gateways drop because one of its reports was
 * late, and against an engine that has ended and is kept.
 */
class EngineReachabilityTests {

	private static final long NOW = 100_000;

	/**
	 * The decision alone.
	 */
	@Nested
	class Decision {

		private final EngineReachability reachability = new EngineReachability();

		Decision() {
			this.reachability.onAnswer(NOW);
		}

		@Test
		void oneLateReportDecidesNothing() {
			assertThat(this.reachability.onFailure(false, NOW + 1_500)).isFalse();
		}

		@Test
		void manyFailedPollsInAShortTimeDecideNothing() {
			for (long millis = 100; millis < 2_000; millis += 100) {
				assertThat(this.reachability.onFailure(false, NOW + millis)).isFalse();
			}
		}

		@Test
		void repeatedSilenceEndsTheReachability() {
			this.reachability.onFailure(false, NOW + 1_500);
			assertThat(this.reachability.onFailure(false, NOW + 3_000)).isTrue();
		}

		@Test
		void oneFailedPollAfterAPauseOfThePollerDecidesNothing() {
			assertThat(this.reachability.onFailure(false, NOW + 10_000)).isFalse();
		}

		@Test
		void answerBetweenFailuresCounts() {
			this.reachability.onFailure(false, NOW + 1_500);
			this.reachability.onAnswer(NOW + 1_600);
			assertThat(this.reachability.onFailure(false, NOW + 3_100)).isFalse();
		}

		@Test
		void endOfTheProcessDecidesAtOnce() {
			assertThat(this.reachability.onFailure(true, NOW + 1)).isTrue();
		}

		@Test
		void silenceAfterTheEndOfTheProcessDoesNotMakeItReachable() {
			this.reachability.onFailure(true, NOW + 1);
			assertThat(this.reachability.onFailure(false, NOW + 2)).isTrue();
		}

	}

	/**
	 * What the monitor publishes.
	 */
	@Nested
	class Monitor {

		private final EventLog log = new EventLog("test");

		private final Upstream ownEngine = RoutingFixtures.engine("own", "kushiro-a", "doto", 1);

		private final ServiceState serviceState = new ServiceState(new ReplicaSettings("vm", this.ownEngine.address(),
				new Address("127.0.0.1", 1), RoutingFixtures.ENGINE_SERVICE, "doto", "kushiro-a", 0, 8_000, 6_500),
				this.log);

		private @Nullable EngineReport reportAfter(EngineUnavailableException failure) {
			this.serviceState.onSnapshot(ServiceSnapshot.of(1,
					new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36, "model", FakeEngine.LAYERS, 300),
					null, 1, List.of(this.ownEngine)));
			EngineMonitor monitor = new EngineMonitor(this.serviceState, new FailingEngine(failure), "engine",
					this.log);
			monitor.refresh();
			assertThat(monitor.latestReport()).isNotNull();
			monitor.refresh();
			return monitor.latestReport();
		}

		@Test
		void keepsTheEngineAfterOneLateReport() {
			assertThat(reportAfter(new EngineUnavailableException("timed out", null))).isNotNull();
		}

		@Test
		void tellsTheEndOfTheProcessAtOnce() {
			assertThat(reportAfter(new EngineUnavailableException("refused", null, true))).isNull();
		}

	}

	/**
	 * Engine that answers once and fails then.
	 */
	private static final class FailingEngine implements EngineControl {

		private final Deque<EngineReport> reports = new ArrayDeque<>(
				List.of(new EngineReport(1, 0, 0, false, 0, new LoadedWeights("model", 1, 0, FakeEngine.LAYERS))));

		private final EngineUnavailableException failure;

		FailingEngine(EngineUnavailableException failure) {
			this.failure = failure;
		}

		@Override
		public EngineReport report() throws EngineUnavailableException {
			EngineReport report = this.reports.poll();
			if (report == null) {
				throw this.failure;
			}
			return report;
		}

		@Override
		public void writeStaged(String model, int index, byte[] chunk) {
		}

		@Override
		public byte @Nullable [] readStaged(String model, int index) {
			return null;
		}

		@Override
		public boolean orderLoad(LoadOrder order, long sequence, long timeoutMillis) {
			return true;
		}

	}

}
