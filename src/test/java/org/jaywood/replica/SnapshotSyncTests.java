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

	private final Upstream own = RoutingFixtures.engine("own", "kushiro-a", "doto", 1);

	private final ReplicaSettings settings = new ReplicaSettings("vm", this.own.address(), new Address("127.0.0.1", 1),
			RoutingFixtures.POOL, "doto", "kushiro-a", 0, 8_000);

	private final ServiceState fleet = new ServiceState(this.settings, this.log);

	private final SnapshotSync sync = new SnapshotSync(this.settings, this.fleet,
			new ReplicaFeeds(new LostFeed<>(), new LostFeed<>(), new LostFeed<>()),
			new PeerClient(new ConnectionPool()), this.log);

	private volatile @Nullable SnapshotReply near;

	private volatile @Nullable SnapshotReply far;

	private final HttpPort nearPort = HttpPort.open(ANY_PORT, this.log)
		.route("GET", "/v1/fleet", (exchange) -> exchange.respondJson(200, this.near))
		.start();

	private final HttpPort farPort = HttpPort.open(ANY_PORT, this.log)
		.route("GET", "/v1/fleet", (exchange) -> exchange.respondJson(200, this.far))
		.start();

	SnapshotSyncTests() {
		this.sync.onGateway(this.nearPort.address(), "kushiro-a");
		this.sync.onGateway(this.farPort.address(), "donan-a");
	}

	@AfterEach
	void stop() {
		this.sync.close();
		this.nearPort.close();
		this.farPort.close();
	}

	private ServiceSnapshot digest(long version) {
		return ServiceSnapshot.of(version, new ServiceProfile.Engines(RoutingFixtures.POOL, 36, "model", 16, 300), null,
				version, List.of(this.own));
	}

	/**
	 * Guards against an agent that learns of a new version late, since the gateway that
	 * it asks has lost the store.
	 */
	@Nested
	class Gateways {

		@Test
		void anAgentTurnsFromAGatewayThatHasLostTheStore() {
			SnapshotSyncTests.this.near = new SnapshotReply(false, digest(1));
			SnapshotSyncTests.this.far = new SnapshotReply(true, digest(2));
			SnapshotSyncTests.this.sync.start();
			Awaitility.await()
				.until(() -> SnapshotSyncTests.this.fleet.target()
					.filter((target) -> target.version() == 2)
					.isPresent());
		}

		@Test
		void anAgentThatKnowsNothingTakesWhatIsThere() {
			SnapshotSyncTests.this.near = new SnapshotReply(false, digest(1));
			SnapshotSyncTests.this.far = new SnapshotReply(false, null);
			SnapshotSyncTests.this.sync.start();
			Awaitility.await().until(SnapshotSyncTests.this.fleet::hasSnapshot);
			assertThat(SnapshotSyncTests.this.fleet.target().orElseThrow()).isEqualTo(new ModelVersion("model", 1));
		}

	}

	/**
	 * Guards against an agent that waits for gateways which start after it: after a loss
	 * of power all engines are empty, and nobody is served until agents know what to
	 * load.
	 */
	@Nested
	class Start {

		@Test
		void anAgentWithoutGatewaysReadsTheStoreAtOnce() {
			AtomicInteger reads = new AtomicInteger();
			SnapshotSync alone = new SnapshotSync(SnapshotSyncTests.this.settings, SnapshotSyncTests.this.fleet,
					new ReplicaFeeds(new LostFeed<>(reads::incrementAndGet), new LostFeed<>(), new LostFeed<>()),
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
	 * Guards against an error that ends the task, after which the agent learns nothing
	 * more.
	 */
	@Nested
	class Errors {

		@Test
		void anErrorDoesNotEndTheTask() {
			AtomicInteger reads = new AtomicInteger();
			SnapshotSync alone = new SnapshotSync(SnapshotSyncTests.this.settings, SnapshotSyncTests.this.fleet,
					new ReplicaFeeds(new LostFeed<>(() -> {
						reads.incrementAndGet();
						throw new StackOverflowError("odd object");
					}), new LostFeed<>(), new LostFeed<>()), new PeerClient(new ConnectionPool()),
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
	private static final class LostFeed<T> implements Feed<T> {

		private final Runnable onList;

		LostFeed() {
			this(() -> {
			});
		}

		LostFeed(Runnable onList) {
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
