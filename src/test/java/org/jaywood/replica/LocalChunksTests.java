package org.jaywood.replica;

import java.util.BitSet;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

class LocalChunksTests {

	private static final BitSet FIRST = BitSet.valueOf(new long[] { 1 });

	private final EventLog log = new EventLog("test");

	private final Upstream own = RoutingFixtures.engine("own", "kushiro-a", "doto", 1);

	private final FakeEngine engine = new FakeEngine();

	private final ServiceState fleet = new ServiceState(new ReplicaSettings("vm", this.own.address(),
			new Address("127.0.0.1", 1), RoutingFixtures.POOL, "doto", "kushiro-a", 0, 8_000), this.log);

	private final EngineMonitor monitor = new EngineMonitor(this.fleet, this.engine, "engine", this.log);

	private final DownloadManager copies = new DownloadManager(this.fleet, this.engine, this.monitor, new Rollout(),
			new ChunkDownloader(this.fleet, new PeerClient(new ConnectionPool()), new NoOrigin(), 1, this.log),
			this.log);

	private final LocalChunks pieces = new LocalChunks(this.copies, this.engine, this.monitor, this.log);

	@BeforeEach
	void serveTheFirstVersion() {
		this.engine.staged.put(0, FakeEngine.chunk(1, 0));
		this.monitor.refresh();
	}

	/**
	 * Guards against bytes of another version that fill the links of peers: an agent that
	 * has not heard of a new version yet is asked for its pieces all the same.
	 */
	@Nested
	class Versions {

		@Test
		void aPieceOfTheVersionThatTheEngineServesIsPassedOn() throws Exception {
			LocalChunks.Chunk piece = LocalChunksTests.this.pieces.next(new ModelVersion("model", 1), FIRST, 0);
			assertThat(piece.bytes()).isEqualTo(FakeEngine.chunk(1, 0));
		}

		@Test
		void aPieceOfAVersionThatIsNotHereIsRefused() throws Exception {
			assertThat(LocalChunksTests.this.pieces.next(new ModelVersion("model", 2), FIRST, 0)).isNull();
		}

		@Test
		void anEmptyEngineHoldsNoVersion() throws Exception {
			LocalChunksTests.this.engine.restart();
			LocalChunksTests.this.monitor.refresh();
			assertThat(LocalChunksTests.this.pieces.next(new ModelVersion("model", 1), FIRST, 0)).isNull();
		}

	}

	/**
	 * Guards against a stream of heartbeats without a pause, which takes the processor
	 * and the link.
	 */
	@Nested
	class Missing {

		private static final long WAIT_MILLIS = 300;

		@Test
		void aPieceThatIsNotBesideTheServingEngineIsWaitedFor() throws Exception {
			BitSet second = BitSet.valueOf(new long[] { 2 });
			long sinceNanos = System.nanoTime();
			assertThat(LocalChunksTests.this.pieces.next(new ModelVersion("model", 1), second, WAIT_MILLIS)).isNull();
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos)).isAtLeast(WAIT_MILLIS);
		}

	}

	/**
	 * Origin that does not answer.
	 */
	private static final class NoOrigin implements WeightOrigin {

		@Override
		public void release(Address origin) {
			// Nothing is kept open.
		}

		@Override
		public ChunkManifest fetchManifest(Address origin, String model, long version) {
			throw new AssertionError("the origin is not asked here");
		}

		@Override
		public byte[] fetchChunk(Address origin, String model, long version, int index) {
			throw new AssertionError("the origin is not asked here");
		}

	}

}
