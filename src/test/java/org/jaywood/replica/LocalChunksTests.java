package org.jaywood.replica;

import java.util.BitSet;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

class LocalChunksTests {

	private static final BitSet FIRST_CHUNK = BitSet.valueOf(new long[] { 1 });

	private final EventLog log = new EventLog("test");

	private final Upstream ownEngine = RoutingFixtures.engine("own", "kushiro-a", "doto", 1);

	private final FakeEngine engine = new FakeEngine();

	private final ServiceState serviceState = new ServiceState(new ReplicaSettings("vm", this.ownEngine.address(),
			new Address("127.0.0.1", 1), RoutingFixtures.ENGINE_SERVICE, "doto", "kushiro-a", 0, 8_000, 6_500),
			this.log);

	private final EngineMonitor monitor = new EngineMonitor(this.serviceState, this.engine, "engine", this.log);

	private final DownloadManager downloads = new DownloadManager(this.serviceState, this.engine, this.monitor,
			new Rollout(6_500), new ChunkDownloader(this.serviceState, new PeerClient(new ConnectionPool()),
					new UnexpectedOrigin(), 1, this.log),
			this.log);

	private final LocalChunks localChunks = new LocalChunks(this.downloads, this.engine, this.monitor, this.log);

	@BeforeEach
	void serveFirstVersion() {
		this.engine.staged.put(0, FakeEngine.chunk(1, 0));
		this.monitor.refresh();
	}

	/**
	 * Guards against bytes of another version that fill the links of peers: an agent may
	 * be asked for chunks of a target version that it has not received yet.
	 */
	@Nested
	class VersionCheck {

		@Test
		void chunkOfServedVersionIsReturned() throws Exception {
			LocalChunks.Chunk chunk = LocalChunksTests.this.localChunks.nextChunk(new ModelVersion("model", 1),
					FIRST_CHUNK, 0);
			assertThat(chunk.bytes()).isEqualTo(FakeEngine.chunk(1, 0));
		}

		@Test
		void chunkOfOtherVersionIsNotReturned() throws Exception {
			assertThat(LocalChunksTests.this.localChunks.nextChunk(new ModelVersion("model", 2), FIRST_CHUNK, 0))
				.isNull();
		}

		@Test
		void engineWithoutWeightsReturnsNoChunk() throws Exception {
			LocalChunksTests.this.engine.restart();
			LocalChunksTests.this.monitor.refresh();
			assertThat(LocalChunksTests.this.localChunks.nextChunk(new ModelVersion("model", 1), FIRST_CHUNK, 0))
				.isNull();
		}

	}

	/**
	 * Guards against a stream of heartbeats without a pause, which uses the processor and
	 * the link.
	 */
	@Nested
	class MissingChunk {

		private static final long WAIT_MILLIS = 300;

		@Test
		void nextChunkWaitsWhenChunkIsNotStaged() throws Exception {
			BitSet second = BitSet.valueOf(new long[] { 2 });
			long startMillis = BootClock.nowMillis();
			assertThat(LocalChunksTests.this.localChunks.nextChunk(new ModelVersion("model", 1), second, WAIT_MILLIS))
				.isNull();
			assertThat(BootClock.nowMillis() - startMillis).isAtLeast(WAIT_MILLIS);
		}

	}

	/**
	 * Origin that must not be asked.
	 */
	private static final class UnexpectedOrigin implements WeightOrigin {

		@Override
		public void closeIdleConnections(Address origin) {
			// No connection is kept open.
		}

		@Override
		public ChunkManifest fetchManifest(Address origin, String model, long version) {
			throw new AssertionError("unexpected request to the origin");
		}

		@Override
		public byte[] fetchChunk(Address origin, ChunkManifest manifest, int index) {
			throw new AssertionError("unexpected request to the origin");
		}

	}

}
