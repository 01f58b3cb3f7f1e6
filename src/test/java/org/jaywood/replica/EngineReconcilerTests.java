package org.jaywood.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

class EngineReconcilerTests {

	private final EventLog log = new EventLog("test");

	private final Upstream ownEngine = RoutingFixtures.engine("own", "kushiro-a", "doto", 1);

	private final FakeEngine engine = new FakeEngine();

	private final ServiceState serviceState = new ServiceState(new ReplicaSettings("vm", this.ownEngine.address(),
			new Address("127.0.0.1", 1), RoutingFixtures.ENGINE_SERVICE, "doto", "kushiro-a", 0, 8_000, 6_500),
			this.log);

	private final EngineMonitor monitor = new EngineMonitor(this.serviceState, this.engine, "engine", this.log);

	/** Version whose manifest the origin has dropped, 0 for none. */
	private volatile long goneManifest;

	/** Version whose chunks the origin has dropped, 0 for none. */
	private volatile long goneChunks;

	/** Requests that the origin has refused as gone. */
	private final AtomicInteger goneCount = new AtomicInteger();

	private final Rollout rollout = new Rollout(6_500);

	private final DownloadManager downloads = new DownloadManager(this.serviceState, this.engine, this.monitor,
			this.rollout,
			new ChunkDownloader(this.serviceState, new PeerClient(new ConnectionPool()), new FakeOrigin(), 1, this.log),
			this.log);

	private final EngineReconciler reconciler = new EngineReconciler(this.serviceState,
			new WeightsLoader(this.engine, BootClock::nowMillis, this.log), this.rollout, this.downloads, this.monitor,
			this.log);

	@AfterEach
	void stop() {
		this.reconciler.close();
		this.downloads.close();
		this.monitor.close();
	}

	private void setTargetVersion(long version) {
		setTargetVersion(version, this.ownEngine);
	}

	private void setTargetVersion(long version, Upstream entry) {
		ServiceProfile.Engines profile = new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36, "model",
				FakeEngine.LAYERS, 300);
		ServiceProfile.Origin origin = new ServiceProfile.Origin("origin", new Address("127.0.0.1", 2), "doto");
		this.serviceState.onSnapshot(ServiceSnapshot.of(version, profile, origin, version, List.of(entry)));
	}

	private void start() {
		this.monitor.start();
		this.downloads.start();
		this.reconciler.start();
	}

	/**
	 * Guards against an engine that loads chunks which are missing, corrupt or of another
	 * version.
	 */
	@Nested
	class LoadOrder {

		@Test
		void corruptStagedChunksAreReplacedBeforeLoadOrder() {
			EngineReconcilerTests.this.engine.staged.put(0, FakeEngine.chunk(2, 0));
			EngineReconcilerTests.this.engine.staged.put(1, new byte[] { 1 });
			setTargetVersion(2);
			start();
			Awaitility.await().until(() -> !EngineReconcilerTests.this.engine.loadResults.isEmpty());
			assertThat(EngineReconcilerTests.this.engine.loadResults.getFirst()).isEqualTo("2 whole");
		}

		@Test
		void corruptChunkFromOriginIsFetchedAgain() {
			EngineReconcilerTests.this.engine.corruptOrigin = true;
			setTargetVersion(2);
			start();
			Awaitility.await().until(() -> !EngineReconcilerTests.this.engine.loadResults.isEmpty());
			assertThat(EngineReconcilerTests.this.engine.loadResults.getFirst()).isEqualTo("2 whole");
		}

		@Test
		void engineThatRestartsWithoutWeightsIsLoadedAgain() {
			setTargetVersion(2);
			start();
			Awaitility.await().until(() -> EngineReconcilerTests.this.engine.loadResults.size() == 1);
			EngineReconcilerTests.this.engine.restart();
			Awaitility.await().until(() -> EngineReconcilerTests.this.engine.loadResults.size() == 2);
			assertThat(EngineReconcilerTests.this.engine.loadResults.getLast()).isEqualTo("2 whole");
		}

		@Test
		void loadOrderCarriesSequenceOfEngine() {
			EngineReconcilerTests.this.engine.sequence = 7;
			setTargetVersion(2);
			start();
			Awaitility.await().until(() -> !EngineReconcilerTests.this.engine.loadResults.isEmpty());
			assertThat(EngineReconcilerTests.this.engine.lastOrderSequence).isEqualTo(7);
		}

	}

	/**
	 * Guards against a target version that the origin has dropped and that is asked for
	 * without end, while no newer one is loaded.
	 */
	@Nested
	class DroppedVersion {

		@Test
		void newerVersionIsLoadedInsteadOfOneWithoutManifest() {
			EngineReconcilerTests.this.goneManifest = 2;
			setTargetVersion(2);
			start();
			Awaitility.await().until(() -> EngineReconcilerTests.this.goneCount.get() > 0);
			setTargetVersion(4);
			Awaitility.await().until(() -> !EngineReconcilerTests.this.engine.loadResults.isEmpty());
			assertThat(EngineReconcilerTests.this.engine.loadResults).containsExactly("4 whole");
			assertThat(EngineReconcilerTests.this.goneCount.get()).isEqualTo(1);
		}

		@Test
		void newerVersionIsLoadedInsteadOfOneWithoutChunks() {
			EngineReconcilerTests.this.goneChunks = 2;
			setTargetVersion(2);
			start();
			Awaitility.await().until(() -> EngineReconcilerTests.this.goneCount.get() > 0);
			setTargetVersion(4);
			Awaitility.await().until(() -> !EngineReconcilerTests.this.engine.loadResults.isEmpty());
			assertThat(EngineReconcilerTests.this.engine.loadResults).containsExactly("4 whole");
			assertThat(EngineReconcilerTests.this.goneCount.get()).isAtMost(FakeEngine.CHUNKS);
		}

	}

	/**
	 * Guards against an unexpected error that ends a task, after which the engine never
	 * gets another version.
	 */
	@Nested
	class UnexpectedError {

		private void assertLoaded() {
			setTargetVersion(2);
			start();
			Awaitility.await().until(() -> !EngineReconcilerTests.this.engine.loadResults.isEmpty());
			assertThat(EngineReconcilerTests.this.engine.loadResults.getFirst()).isEqualTo("2 whole");
		}

		@Test
		void doesNotEndDownloads() {
			EngineReconcilerTests.this.engine.nextStagingError.set(new AssertionError("unexpected"));
			assertLoaded();
		}

		@Test
		void doesNotEndLoadOrders() {
			EngineReconcilerTests.this.engine.nextOrderError.set(new AssertionError("unexpected"));
			assertLoaded();
		}

	}

	/**
	 * Guards against leaving engines that use the links of engines which wait for a
	 * version.
	 */
	@Nested
	class LeavingEngine {

		@Test
		void leavingEngineDownloadsNothing() {
			setTargetVersion(2, RoutingFixtures.leaving(EngineReconcilerTests.this.ownEngine));
			start();
			Awaitility.await()
				.during(Duration.ofMillis(500))
				.until(() -> EngineReconcilerTests.this.downloads.findDownload(new ModelVersion("model", 2)) == null);
		}

		@Test
		void engineThatNoLongerLeavesIsLoaded() {
			setTargetVersion(2, RoutingFixtures.leaving(EngineReconcilerTests.this.ownEngine));
			start();
			setTargetVersion(2);
			Awaitility.await().until(() -> !EngineReconcilerTests.this.engine.loadResults.isEmpty());
			assertThat(EngineReconcilerTests.this.engine.loadResults.getFirst()).isEqualTo("2 whole");
		}

	}

	/**
	 * Origin whose first response for a chunk may be corrupt.
	 */
	private final class FakeOrigin implements WeightOrigin {

		@Override
		public void closeIdleConnections(Address origin) {
			// No connection is kept open.
		}

		private final Map<Integer, Boolean> requestedChunks = new ConcurrentHashMap<>();

		@Override
		public ChunkManifest fetchManifest(Address origin, String model, long version) throws VersionGoneException {
			requireVersion(version, EngineReconcilerTests.this.goneManifest);
			List<String> digests = new ArrayList<>();
			for (int index = 0; index < FakeEngine.CHUNKS; index++) {
				digests.add(FakeEngine.digest(version, index));
			}
			return new ChunkManifest(model, version, 0, digests);
		}

		@Override
		public byte[] fetchChunk(Address origin, ChunkManifest manifest, int index) throws VersionGoneException {
			requireVersion(manifest.version(), EngineReconcilerTests.this.goneChunks);
			boolean first = this.requestedChunks.put(index, true) == null;
			return (first && EngineReconcilerTests.this.engine.corruptOrigin) ? new byte[] { 9 }
					: FakeEngine.chunk(manifest.version(), index);
		}

		private void requireVersion(long version, long gone) throws VersionGoneException {
			if (version == gone) {
				EngineReconcilerTests.this.goneCount.incrementAndGet();
				throw new VersionGoneException("version " + version + " is gone");
			}
		}

	}

}
