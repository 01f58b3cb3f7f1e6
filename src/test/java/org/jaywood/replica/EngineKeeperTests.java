package org.jaywood.replica;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.FleetDigest;
import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.Upstreams;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

class EngineKeeperTests {

	private static final int PIECES = 4;

	private static final int LAYERS = 16;

	private final EventLog log = new EventLog("test");

	private final Upstream own = Upstreams.engine("own", "kushiro-a", "doto", 1);

	private final FakeEngine engine = new FakeEngine();

	private final FleetKnowledge fleet = new FleetKnowledge(new ReplicaSettings("vm", this.own.address(),
			new Address("127.0.0.1", 1), Upstreams.POOL, "doto", "kushiro-a", 0, 8_000), this.log);

	private final EngineMonitor monitor = new EngineMonitor(this.fleet, this.engine, "engine", this.log);

	private final Rollout rollout = new Rollout();

	private final CopyKeeper copies = new CopyKeeper(this.fleet, this.engine, this.monitor, this.rollout,
			new PieceFetcher(this.fleet, new PeerPieces(new ConnectionPool()), new FakeOrigin(), 1, this.log),
			this.log);

	private final EngineKeeper keeper = new EngineKeeper(this.fleet, this.engine, this.rollout, this.copies,
			this.monitor, this.log);

	@AfterEach
	void stop() {
		this.keeper.close();
		this.copies.close();
		this.monitor.close();
	}

	private void name(long version) {
		ServiceProfile.Engines profile = new ServiceProfile.Engines(Upstreams.POOL, 36, "model", LAYERS, 300);
		ServiceProfile.Origin origin = new ServiceProfile.Origin("origin", new Address("127.0.0.1", 2), "doto");
		this.fleet.onDigest(FleetDigest.of(version, profile, origin, version, List.of(this.own)));
	}

	private void start() {
		this.monitor.start();
		this.copies.start();
		this.keeper.start();
	}

	private static byte[] piece(long version, int index) {
		return ("piece " + version + " " + index).getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Guards against an engine that loads pieces which are missing, spoilt or of another
	 * version.
	 */
	@Nested
	class Load {

		@Test
		void piecesThatTurnBadBesideTheEngineAreReplacedBeforeTheOrder() {
			EngineKeeperTests.this.engine.staged.put(0, piece(2, 0));
			EngineKeeperTests.this.engine.staged.put(1, new byte[] { 1 });
			name(2);
			start();
			Awaitility.await().until(() -> !EngineKeeperTests.this.engine.loaded.isEmpty());
			assertThat(EngineKeeperTests.this.engine.loaded.getFirst()).isEqualTo("2 whole");
		}

		@Test
		void aSpoiltPieceOfTheOriginIsFetchedAgain() {
			EngineKeeperTests.this.engine.spoilOrigin = true;
			name(2);
			start();
			Awaitility.await().until(() -> !EngineKeeperTests.this.engine.loaded.isEmpty());
			assertThat(EngineKeeperTests.this.engine.loaded.getFirst()).isEqualTo("2 whole");
		}

		@Test
		void anEngineThatRestartsEmptyIsLoadedAgain() {
			name(2);
			start();
			Awaitility.await().until(() -> EngineKeeperTests.this.engine.loaded.size() == 1);
			EngineKeeperTests.this.engine.restart();
			Awaitility.await().until(() -> EngineKeeperTests.this.engine.loaded.size() == 2);
			assertThat(EngineKeeperTests.this.engine.loaded.getLast()).isEqualTo("2 whole");
		}

		@Test
		void anOrderFollowsTheCountOfTheEngine() {
			EngineKeeperTests.this.engine.sequence = 7;
			name(2);
			start();
			Awaitility.await().until(() -> !EngineKeeperTests.this.engine.loaded.isEmpty());
			assertThat(EngineKeeperTests.this.engine.lastPrecondition).isEqualTo(7);
		}

	}

	/**
	 * Engine that keeps what is staged and loads it at once.
	 */
	private static final class FakeEngine implements EngineControl {

		private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();

		private final List<String> loaded = new ArrayList<>();

		private volatile long sequence;

		private volatile long lastPrecondition = -1;

		private volatile @Nullable LoadedWeights weights = new LoadedWeights("model", 1, 0, LAYERS);

		private volatile boolean spoilOrigin;

		void restart() {
			this.weights = null;
			this.sequence = 0;
		}

		@Override
		public EngineReport report() {
			return new EngineReport(1, 0, 0, false, this.sequence, this.weights);
		}

		@Override
		public void stage(String model, int index, byte[] piece) {
			this.staged.put(index, piece);
		}

		@Override
		public byte @Nullable [] staged(String model, int index) {
			return this.staged.get(index);
		}

		@Override
		public boolean load(String model, long version, long precondition) {
			this.lastPrecondition = precondition;
			if (precondition != this.sequence) {
				return false;
			}
			Map<Integer, String> wanted = new HashMap<>();
			Map<Integer, String> present = new HashMap<>();
			for (int index = 0; index < PIECES; index++) {
				wanted.put(index, new String(piece(version, index), StandardCharsets.UTF_8));
				byte[] bytes = this.staged.getOrDefault(index, new byte[0]);
				present.put(index, new String(bytes, StandardCharsets.UTF_8));
			}
			this.sequence++;
			this.weights = new LoadedWeights(model, version, 0, LAYERS);
			this.loaded.add(version + (wanted.equals(present) ? " whole" : " spoilt"));
			return true;
		}

	}

	/**
	 * Origin that may spoil the first answer for a piece.
	 */
	private final class FakeOrigin implements WeightOrigin {

		private final Map<Integer, Boolean> asked = new ConcurrentHashMap<>();

		@Override
		public PieceList pieces(Address origin, String model, long version) {
			List<String> digests = new ArrayList<>();
			for (int index = 0; index < PIECES; index++) {
				digests.add(digest(EngineKeeperTests.piece(version, index)));
			}
			return new PieceList(model, version, digests);
		}

		@Override
		public byte[] piece(Address origin, String model, long version, int index) {
			boolean first = this.asked.put(index, true) == null;
			return (first && EngineKeeperTests.this.engine.spoilOrigin) ? new byte[] { 9 }
					: EngineKeeperTests.piece(version, index);
		}

		private static String digest(byte[] bytes) {
			try {
				return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
			}
			catch (NoSuchAlgorithmException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
