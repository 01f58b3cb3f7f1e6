package org.jaywood.replica;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.feed.Feed;
import org.jaywood.feed.FeedException;
import org.jaywood.feed.FeedPage;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.SnapshotReply;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

class SnapshotSyncTests {

	private static final Address ANY_PORT = new Address("127.0.0.1", 0);

	private final EventLog log = new EventLog("test");

	private final Upstream ownEngine = RoutingFixtures.engine("own", "kushiro-a", "doto", 1);

	private final ReplicaSettings settings = new ReplicaSettings("vm", this.ownEngine.address(),
			new Address("127.0.0.1", 1), RoutingFixtures.ENGINE_SERVICE, "doto", "kushiro-a", 0, 8_000, 6_500);

	private final ServiceState serviceState = new ServiceState(this.settings, this.log);

	private final SnapshotSync sync = new SnapshotSync(this.settings, this.serviceState,
			new ReplicaFeeds(new UnreachableFeed<>(), new UnreachableFeed<>(), new UnreachableFeed<>()),
			new PeerClient(new ConnectionPool()), this.log);

	private volatile @Nullable SnapshotReply nearReply;

	private volatile @Nullable SnapshotReply farReply;

	private final HttpPort nearPort = HttpPort.open(ANY_PORT, this.log)
		.route("GET", "/v1/fleet", (exchange) -> exchange.respondJson(200, this.nearReply))
		.start();

	private final HttpPort farPort = HttpPort.open(ANY_PORT, this.log)
		.route("GET", "/v1/fleet", (exchange) -> exchange.respondJson(200, this.farReply))
		.start();

	SnapshotSyncTests() {
		this.sync.addGateway(this.nearPort.address(), "kushiro-a");
		this.sync.addGateway(this.farPort.address(), "donan-a");
	}

	@AfterEach
	void stop() {
		this.sync.close();
		this.nearPort.close();
		this.farPort.close();
	}

	private ServiceSnapshot snapshot(long version) {
		return ServiceSnapshot.of(version,
				new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36, "model", 16, 300), null, version,
				List.of(this.ownEngine));
	}

	/**
	 * Guards against an agent that receives a new target version late because the gateway
	 * that it polls has no store contact.
	 */
	@Nested
	class GatewaySelection {

		@Test
		void gatewayWithoutStoreContactIsSkipped() {
			SnapshotSyncTests.this.nearReply = new SnapshotReply(false, snapshot(1));
			SnapshotSyncTests.this.farReply = new SnapshotReply(true, snapshot(2));
			SnapshotSyncTests.this.sync.start();
			Awaitility.await()
				.until(() -> SnapshotSyncTests.this.serviceState.target()
					.filter((target) -> target.version() == 2)
					.isPresent());
		}

		@Test
		void staleSnapshotIsAcceptedWhenThereIsNone() {
			SnapshotSyncTests.this.nearReply = new SnapshotReply(false, snapshot(1));
			SnapshotSyncTests.this.farReply = new SnapshotReply(false, null);
			SnapshotSyncTests.this.sync.start();
			Awaitility.await().until(SnapshotSyncTests.this.serviceState::hasSnapshot);
			assertThat(SnapshotSyncTests.this.serviceState.target().orElseThrow())
				.isEqualTo(new ModelVersion("model", 1));
		}

	}

	/**
	 * Guards against an agent that waits for gateways which start after it: after a power
	 * failure all engines are without weights, and no call is run until agents receive
	 * the target version.
	 */
	@Nested
	class StartWithoutGateways {

		@Test
		void storeIsReadAtOnce() {
			AtomicInteger reads = new AtomicInteger();
			SnapshotSync alone = new SnapshotSync(SnapshotSyncTests.this.settings, SnapshotSyncTests.this.serviceState,
					new ReplicaFeeds(new UnreachableFeed<>(reads::incrementAndGet), new UnreachableFeed<>(),
							new UnreachableFeed<>()),
					new PeerClient(new ConnectionPool()), SnapshotSyncTests.this.log)
				.start();
			try {
				Awaitility.await().atMost(Duration.ofSeconds(2)).until(() -> reads.get() > 0);
			}
			finally {
				alone.close();
			}
		}

	}

	/**
	 * Guards against an agent that goes back to lists and target versions of a store that
	 * was restored from an older copy, or that no longer receives any.
	 */
	@Nested
	class RestoredStore {

		@Test
		void gatewayThatHasNotSeenTheRestoreIsSkipped() {
			SnapshotSyncTests.this.nearReply = new SnapshotReply(true, 0, snapshot(1));
			SnapshotSyncTests.this.farReply = new SnapshotReply(true, 1, snapshot(2));
			SnapshotSyncTests.this.serviceState.observeEra(1);
			SnapshotSyncTests.this.sync.start();
			Awaitility.await()
				.until(() -> SnapshotSyncTests.this.serviceState.target()
					.filter((target) -> target.version() == 2)
					.isPresent());
		}

		@Test
		void snapshotWithOlderTargetChangesTheListOnly() {
			ServiceState state = SnapshotSyncTests.this.serviceState;
			state.onSnapshot(snapshot(3));
			ServiceSnapshot restored = ServiceSnapshot.of(1,
					new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36, "model", 16, 300), null, 2,
					List.of(SnapshotSyncTests.this.ownEngine, RoutingFixtures.engine("b", "kushiro-a", "doto", 1)));
			state.onSnapshot(restored);
			assertThat(state.target().orElseThrow()).isEqualTo(new ModelVersion("model", 3));
			assertThat(state.engines()).hasSize(2);
			// The gateway compares the hash of what it sent, so that it does not send it
			// again.
			assertThat(state.contentHash()).isEqualTo(restored.contentHash());
		}

		@Test
		void newerSnapshotWithLowerRevisionIsAccepted() {
			ServiceState state = SnapshotSyncTests.this.serviceState;
			state.onSnapshot(snapshot(3));
			state.observeEra(1);
			state.onSnapshot(ServiceSnapshot.of(1,
					new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36, "model", 16, 300), null, 4,
					List.of(SnapshotSyncTests.this.ownEngine)));
			assertThat(state.target().orElseThrow()).isEqualTo(new ModelVersion("model", 4));
		}

	}

	/**
	 * Guards against an error that ends the task, after which the agent receives no
	 * further snapshot.
	 */
	@Nested
	class TaskErrors {

		@Test
		void taskContinuesAfterError() {
			AtomicInteger reads = new AtomicInteger();
			SnapshotSync alone = new SnapshotSync(SnapshotSyncTests.this.settings, SnapshotSyncTests.this.serviceState,
					new ReplicaFeeds(new UnreachableFeed<>(() -> {
						reads.incrementAndGet();
						throw new StackOverflowError("malformed object");
					}), new UnreachableFeed<>(), new UnreachableFeed<>()), new PeerClient(new ConnectionPool()),
					SnapshotSyncTests.this.log)
				.start();
			try {
				Awaitility.await().until(() -> reads.get() > 1);
			}
			finally {
				alone.close();
			}
		}

	}

	/**
	 * Feed of a store that does not answer.
	 *
	 * @param <T> type of the values
	 */
	private static final class UnreachableFeed<T> implements Feed<T> {

		private final Runnable onList;

		UnreachableFeed() {
			this(() -> {
			});
		}

		UnreachableFeed(Runnable onList) {
			this.onList = onList;
		}

		@Override
		public String name() {
			return "lost";
		}

		@Override
		public FeedPage<T> list() throws FeedException {
			this.onList.run();
			throw new FeedException("no answer", null);
		}

		@Override
		public FeedPage<T> watch(long revision, long waitMillis) throws FeedException {
			throw new FeedException("no answer", null);
		}

	}

}
