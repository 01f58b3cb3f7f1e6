package org.jaywood.replica;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.routing.EvidenceMessage;
import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.TimedReport;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.UpstreamReport;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against one malformed report that ends the polling of the engine for good, after
 * which the gateways would take a healthy engine for a silent one.
 */
class EngineMonitorTests {

	private final EventLog log = new EventLog("test");

	private final Upstream ownEngine = RoutingFixtures.engine("own", "kushiro-a", "doto", 1);

	private final ServiceState serviceState = new ServiceState(new ReplicaSettings("vm", this.ownEngine.address(),
			new Address("127.0.0.1", 1), RoutingFixtures.ENGINE_SERVICE, "doto", "kushiro-a", 0, 8_000, 6_500),
			this.log);

	@Test
	void monitorContinuesAfterException() {
		assertMonitorContinuesAfter(new IllegalStateException("unexpected"));
	}

	@Test
	void monitorContinuesAfterError() {
		assertMonitorContinuesAfter(new StackOverflowError("unexpected"));
	}

	@Test
	void agentThatDoesNotKnowTheEntryOfItsEngineDoesNotReportItAsUnreachable() throws Exception {
		EngineMonitor monitor = new EngineMonitor(this.serviceState, new FakeEngine(), "engine", this.log);
		assertThat(reportOf(monitor)).isNull();
		monitor.refresh();
		assertThat(reportOf(monitor)).isNull();
		this.serviceState.onSnapshot(snapshot());
		monitor.refresh();
		assertThat(reportOf(monitor).upstream()).isEqualTo("own");
	}

	private static UpstreamReport reportOf(EngineMonitor monitor) throws InterruptedException {
		return Json
			.read(new String(monitor.await(-1, 0).line(EvidenceMessage.EMPTY, 0), StandardCharsets.UTF_8),
					TimedReport.class)
			.report();
	}

	private ServiceSnapshot snapshot() {
		return ServiceSnapshot.of(1,
				new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36, "model", FakeEngine.LAYERS, 300), null,
				1, List.of(this.ownEngine));
	}

	private void assertMonitorContinuesAfter(Throwable failure) {
		this.serviceState.onSnapshot(snapshot());
		EngineMonitor monitor = new EngineMonitor(this.serviceState, new FailingEngine(failure), "engine", this.log);
		monitor.start();
		try {
			Awaitility.await().until(() -> monitor.latestReport() != null);
		}
		finally {
			monitor.close();
		}
	}

	/**
	 * Engine whose first report throws.
	 */
	private static final class FailingEngine implements EngineControl {

		private final AtomicInteger reportCount = new AtomicInteger();

		private final Throwable failure;

		FailingEngine(Throwable failure) {
			this.failure = failure;
		}

		@Override
		public EngineReport report() {
			if (this.reportCount.incrementAndGet() == 1) {
				if (this.failure instanceof Error error) {
					throw error;
				}
				throw new IllegalStateException(this.failure);
			}
			return new EngineReport(1, 0, 0, false, 0, new LoadedWeights("model", 1, 0, FakeEngine.LAYERS));
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
