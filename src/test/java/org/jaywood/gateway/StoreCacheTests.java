package org.jaywood.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.feed.FeedView;
import org.jaywood.http.RequestLimits;
import org.jaywood.routing.DispatchSettings;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.KeyRing;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.SnapshotReply;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

class StoreCacheTests {

	private static final long VERSION_GRACE_MILLIS = 7_000;

	private static final long RETENTION_MILLIS = 2_200;

	private final Dispatcher dispatcher = new Dispatcher(
			new DispatchSettings("gateway", "doto", "kushiro-a", 1.5, 5, 2_200, VERSION_GRACE_MILLIS));

	private final StoreCache storeCache = new StoreCache(this.dispatcher, RETENTION_MILLIS, new EventLog("test"));

	private final Upstream engine = RoutingFixtures.engine("a", "kushiro-a", "doto", 1);

	StoreCacheTests() {
		long nowMillis = BootClock.nowMillis();
		RouteTable table = RoutingFixtures.table();
		this.storeCache.onConfiguration(new FeedView<>(Map.of("main", table), 1, nowMillis, Long.MIN_VALUE, true));
		this.storeCache
			.onUpstreams(new FeedView<>(Map.of(this.engine.id(), this.engine), 1, nowMillis, Long.MIN_VALUE, true));
	}

	private void onTargetVersion(long version, long confirmedMillis, long regainedMillis) {
		onTargetVersion(version, confirmedMillis, regainedMillis, false);
	}

	private void onTargetVersion(long version, long confirmedMillis, long regainedMillis, boolean listed) {
		Map<String, ModelVersion> entries = (version > 1) ? Map.of("model", new ModelVersion("model", version))
				: Map.of();
		this.storeCache.onTargetVersions(new FeedView<>(entries, 2, confirmedMillis, regainedMillis, listed));
	}

	private boolean versionRequired() {
		return this.dispatcher.requiredVersion(RoutingFixtures.ENGINE_SERVICE, BootClock.nowMillis()).isPresent();
	}

	/**
	 * Guards against a gateway that restarts the grace period of a target version because
	 * it has just started, or has just reached the store again.
	 */
	@Nested
	class TargetVersions {

		@Test
		void aVersionInTheFirstViewIsRequiredAtOnce() {
			onTargetVersion(2, BootClock.nowMillis(), Long.MIN_VALUE);
			assertThat(versionRequired()).isTrue();
		}

		@Test
		void aNewVersionIsNotRequiredDuringItsGracePeriod() {
			onTargetVersion(1, BootClock.nowMillis(), Long.MIN_VALUE);
			onTargetVersion(2, BootClock.nowMillis(), Long.MIN_VALUE);
			assertThat(versionRequired()).isFalse();
		}

		@Test
		void theGracePeriodAfterALossOfHistoryStartsAtTheLastConfirmationBefore() {
			long nowMillis = BootClock.nowMillis();
			onTargetVersion(1, nowMillis - VERSION_GRACE_MILLIS - 500, Long.MIN_VALUE);
			onTargetVersion(2, nowMillis, Long.MIN_VALUE, true);
			assertThat(versionRequired()).isTrue();
		}

		@Test
		void theGracePeriodAfterAStallStartsWithTheStall() {
			long nowMillis = BootClock.nowMillis();
			onTargetVersion(1, nowMillis, Long.MIN_VALUE);
			StoreCacheTests.this.storeCache.onTick(nowMillis - VERSION_GRACE_MILLIS - 500);
			StoreCacheTests.this.storeCache.onTick(nowMillis);
			onTargetVersion(2, nowMillis, Long.MIN_VALUE);
			assertThat(versionRequired()).isTrue();
		}

		@Test
		void theGracePeriodAfterAnOutageStartsAtTheLastConfirmationBefore() {
			long nowMillis = BootClock.nowMillis();
			onTargetVersion(1, nowMillis - VERSION_GRACE_MILLIS - 500, Long.MIN_VALUE);
			onTargetVersion(2, nowMillis, nowMillis);
			assertThat(versionRequired()).isTrue();
		}

	}

	/**
	 * Guards against a gateway that has lost the store and does not end the long polls of
	 * its agents, so that they miss a new version until the polls time out.
	 */
	@Nested
	class Snapshots {

		private static final long LONG_POLL_MILLIS = 5_000;

		private boolean reachable = true;

		private final SnapshotService service = new SnapshotService(StoreCacheTests.this.storeCache,
				() -> this.reachable);

		Snapshots() {
			onTargetVersion(1, BootClock.nowMillis(), Long.MIN_VALUE);
		}

		@Test
		void anAgentGetsASnapshotThatItDoesNotHave() throws Exception {
			SnapshotReply reply = this.service.await(RoutingFixtures.ENGINE_SERVICE, 0, 0);
			assertThat(reply.current()).isTrue();
			assertThat(reply.digest().target()).isEqualTo(new ModelVersion("model", 1));
		}

		@Test
		void aSnapshotIsNotSentTwice() throws Exception {
			long knownHash = this.service.await(RoutingFixtures.ENGINE_SERVICE, 0, 0).digest().contentHash();
			assertThat(this.service.await(RoutingFixtures.ENGINE_SERVICE, knownHash, 0))
				.isEqualTo(new SnapshotReply(true, null));
		}

		@Test
		void aLostStoreEndsTheLongPollEarly() throws Exception {
			long knownHash = this.service.await(RoutingFixtures.ENGINE_SERVICE, 0, 0).digest().contentHash();
			this.reachable = false;
			long sinceMillis = BootClock.nowMillis();
			SnapshotReply reply = this.service.await(RoutingFixtures.ENGINE_SERVICE, knownHash, LONG_POLL_MILLIS);
			assertThat(reply).isEqualTo(new SnapshotReply(false, null));
			assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(LONG_POLL_MILLIS / 2);
		}

		@Test
		void entriesThatArriveOneByOneAreSentTogether() throws Exception {
			Set<Long> hashes = new HashSet<>();
			Map<String, Upstream> entries = new HashMap<>();
			for (int number = 0; number < 60; number++) {
				Upstream added = RoutingFixtures.engine("added-" + number, "kushiro-a", "doto", 1);
				entries.put(added.id(), added);
				onUpstreams(entries);
				hashes.add(contentHash());
			}
			assertThat(hashes.size()).isAtMost(2);
			Awaitility.await().until(() -> {
				StoreCacheTests.this.storeCache.onTick(BootClock.nowMillis());
				return this.service.await(RoutingFixtures.ENGINE_SERVICE, 0, 0)
					.digest()
					.engines()
					.stream()
					.anyMatch((engine) -> engine.id().equals("added-59"));
			});
		}

		@Test
		void aTargetVersionDoesNotWaitForTheListInterval() throws Exception {
			onUpstreams(Map.of("added", RoutingFixtures.engine("added", "kushiro-a", "doto", 1)));
			contentHash();
			onTargetVersion(2, BootClock.nowMillis(), Long.MIN_VALUE);
			assertThat(this.service.await(RoutingFixtures.ENGINE_SERVICE, 0, 0).digest().target())
				.isEqualTo(new ModelVersion("model", 2));
		}

		private long contentHash() throws InterruptedException {
			return this.service.await(RoutingFixtures.ENGINE_SERVICE, 0, 0).digest().contentHash();
		}

		private void onUpstreams(Map<String, Upstream> entries) {
			StoreCacheTests.this.storeCache
				.onUpstreams(new FeedView<>(Map.copyOf(entries), 1, BootClock.nowMillis(), Long.MIN_VALUE, false));
		}

		@Test
		void anUnknownServiceIsNotCurrent() throws Exception {
			assertThat(this.service.await("other", 0, 0)).isEqualTo(new SnapshotReply(false, null));
		}

	}

	/**
	 * Guards against a gateway that loses upstreams or goes back to an older
	 * configuration or target version because its store was restored from an older copy.
	 */
	@Nested
	class RestoredStore {

		private final CapturedLog log = new CapturedLog();

		@AfterEach
		void stop() {
			this.log.close();
		}

		@Test
		void lostUpstreamIsKeptUntilItsTimeIsOver() {
			onUpstreams(1);
			assertThat(subscribedIds()).containsExactly("a");
			StoreCacheTests.this.storeCache.onTick(BootClock.nowMillis() + RETENTION_MILLIS - 500);
			assertThat(subscribedIds()).containsExactly("a");
			StoreCacheTests.this.storeCache.onTick(BootClock.nowMillis() + RETENTION_MILLIS);
			assertThat(engines()).isEmpty();
		}

		@Test
		void lostUpstreamWithoutRestoreIsNotKept() {
			onUpstreams(0);
			assertThat(subscribedIds()).isEmpty();
		}

		@Test
		void olderIncarnationDoesNotReplaceTheYounger() {
			Upstream engine = StoreCacheTests.this.engine;
			Upstream older = new Upstream("older", engine.service(), engine.address(), engine.dataCentre(),
					engine.region(), engine.slots(), false, 0, engine.bornMillis() - 1, engine.weights());
			onUpstreams(1, older);
			assertThat(subscribedIds()).containsExactly("a");
		}

		@Test
		void leavingUpstreamDoesNotComeBack() {
			onUpstreams(0, RoutingFixtures.leaving(StoreCacheTests.this.engine));
			onUpstreams(1, StoreCacheTests.this.engine);
			assertThat(engines().getFirst().leaving()).isTrue();
		}

		@Test
		void closedDataCentreStaysClosedUntilTheTimeIsOver() {
			onClosedDataCentres(0, Map.of("kushiro-a", "kushiro-a"));
			onClosedDataCentres(1, Map.of());
			assertThat(this.log.of(Event.DATA_CENTRES_CLOSED)).hasSize(1);
			StoreCacheTests.this.storeCache.onTick(BootClock.nowMillis() + RETENTION_MILLIS);
			assertThat(this.log.of(Event.DATA_CENTRES_CLOSED)).hasSize(2);
		}

		@Test
		void olderConfigurationIsIgnoredUnconfirmedAndLoggedOnce() {
			onConfiguration(0, 5, 1_000);
			onConfiguration(1, 4, 2_000);
			onConfiguration(1, 4, 3_000);
			assertThat(StoreCacheTests.this.storeCache.table().version()).isEqualTo(5);
			assertThat(StoreCacheTests.this.storeCache.confirmedMillis()).isEqualTo(1_000);
			assertThat(this.log.of(Event.CONFIGURATION_OLDER_IGNORED)).hasSize(1);
			onConfiguration(1, 5, 4_000);
			assertThat(StoreCacheTests.this.storeCache.confirmedMillis()).isEqualTo(4_000);
		}

		@Test
		void targetVersionDoesNotGoBack() {
			onTargetVersion(3, BootClock.nowMillis(), Long.MIN_VALUE);
			onTargetVersion(2, BootClock.nowMillis(), Long.MIN_VALUE, true);
			onTargetVersion(2, BootClock.nowMillis(), Long.MIN_VALUE);
			assertThat(snapshot().target()).isEqualTo(new ModelVersion("model", 3));
			assertThat(this.log.of(Event.CONFIGURATION_OLDER_IGNORED)).hasSize(1);
		}

		@Test
		void revisionOfSnapshotsDoesNotFall() {
			onTargetVersion(2, BootClock.nowMillis(), Long.MIN_VALUE);
			long revisionBefore = snapshot().revision();
			onUpstreams(1, RoutingFixtures.engine("b", "kushiro-a", "doto", 1));
			onTargetVersion(3, BootClock.nowMillis(), Long.MIN_VALUE);
			assertThat(snapshot().revision()).isAtLeast(revisionBefore);
			assertThat(snapshot().target()).isEqualTo(new ModelVersion("model", 3));
		}

		@Test
		void riseOfEraIsLoggedOnce() {
			onUpstreams(2, StoreCacheTests.this.engine);
			onUpstreams(2, StoreCacheTests.this.engine);
			onClosedDataCentres(2, Map.of());
			assertThat(this.log.of(Event.STORE_RESTORED)).hasSize(1);
			assertThat(StoreCacheTests.this.storeCache.era()).isEqualTo(2);
		}

		private void onUpstreams(long era, Upstream... upstreams) {
			Map<String, Upstream> entries = new HashMap<>();
			List.of(upstreams).forEach((upstream) -> entries.put(upstream.id(), upstream));
			StoreCacheTests.this.storeCache
				.onUpstreams(new FeedView<>(entries, era, 1, BootClock.nowMillis(), Long.MIN_VALUE, era > 0));
		}

		private void onClosedDataCentres(long era, Map<String, String> closed) {
			StoreCacheTests.this.storeCache
				.onClosedDataCentres(new FeedView<>(closed, era, 1, BootClock.nowMillis(), Long.MIN_VALUE, era > 0));
		}

		private void onConfiguration(long era, long version, long confirmedMillis) {
			RouteTable table = new RouteTable(version, List.of(), Map.of(), new KeyRing(true, Map.of()),
					RequestLimits.DEFAULTS);
			StoreCacheTests.this.storeCache.onConfiguration(
					new FeedView<>(Map.of("main", table), era, 1, confirmedMillis, Long.MIN_VALUE, era > 0));
		}

		private Collection<String> subscribedIds() {
			return StoreCacheTests.this.dispatcher.subscribedEngines().values();
		}

		private List<Upstream> engines() {
			onTargetVersion(1, BootClock.nowMillis(), Long.MIN_VALUE);
			return snapshot().engines();
		}

		private ServiceSnapshot snapshot() {
			return StoreCacheTests.this.storeCache
				.snapshot(RoutingFixtures.ENGINE_SERVICE, BootClock.nowMillis() + 10_000)
				.snapshot();
		}

	}

	/**
	 * Guards against a change that the dispatcher never receives, since an error ended
	 * the first attempt to pass it and the next view is equal to the cached one.
	 */
	@Nested
	class FailedPublications {

		/** The log event of the change reads the entries before the dispatcher does. */
		private static final int DISPATCHER_READ_AFTER_LOG_READ = 2;

		private final Upstream added = RoutingFixtures.engine("b", "kushiro-a", "doto", 1);

		private final FailingMap entries = new FailingMap(
				Map.of(StoreCacheTests.this.engine.id(), StoreCacheTests.this.engine, this.added.id(), this.added));

		private final FeedView<Upstream> upstreams = new FeedView<>(this.entries, 2, BootClock.nowMillis(),
				Long.MIN_VALUE, false);

		private Set<Address> subscribedAddresses() {
			return StoreCacheTests.this.dispatcher.subscribedEngines().keySet();
		}

		private void assertFails(Runnable change) {
			Failures.thrownBy(StackOverflowError.class, () -> {
				change.run();
				return null;
			});
		}

		@Test
		void upstreamsThatTheDispatcherDidNotAcceptArePassedAgain() {
			this.entries.failAtRead = DISPATCHER_READ_AFTER_LOG_READ;
			assertFails(() -> StoreCacheTests.this.storeCache.onUpstreams(this.upstreams));
			assertThat(subscribedAddresses()).doesNotContain(this.added.address());
			StoreCacheTests.this.storeCache.onUpstreams(this.upstreams);
			assertThat(subscribedAddresses()).contains(this.added.address());
		}

		@Test
		void closedDataCentresThatTheDispatcherDidNotAcceptArePassedAgain() {
			StoreCacheTests.this.storeCache.onUpstreams(this.upstreams);
			FeedView<String> closed = new FeedView<>(Map.of("kushiro-a", "kushiro-a"), 3, BootClock.nowMillis(),
					Long.MIN_VALUE, false);
			this.entries.failAtRead = 1;
			assertFails(() -> StoreCacheTests.this.storeCache.onClosedDataCentres(closed));
			int readsBefore = this.entries.reads;
			StoreCacheTests.this.storeCache.onClosedDataCentres(closed);
			assertThat(this.entries.reads).isGreaterThan(readsBefore);
		}

		@Test
		void targetVersionsThatTheDispatcherDidNotAcceptArePassedAgain() {
			StoreCacheTests.this.storeCache.onUpstreams(this.upstreams);
			onTargetVersion(1, BootClock.nowMillis(), Long.MIN_VALUE);
			this.entries.failAtRead = 1;
			assertFails(() -> onTargetVersion(2, BootClock.nowMillis(), Long.MIN_VALUE));
			int readsBefore = this.entries.reads;
			onTargetVersion(2, BootClock.nowMillis(), Long.MIN_VALUE);
			assertThat(this.entries.reads).isGreaterThan(readsBefore);
		}

		@Test
		void aConfigurationThatTheDispatcherDidNotAcceptIsPassedAgain() {
			StoreCacheTests.this.storeCache.onUpstreams(this.upstreams);
			RouteTable latest = new RouteTable(2, List.of(), Map.of(), new KeyRing(false, Map.of()),
					RequestLimits.DEFAULTS);
			FeedView<RouteTable> view = new FeedView<>(Map.of("main", latest), 3, BootClock.nowMillis(), Long.MIN_VALUE,
					false);
			this.entries.failAtRead = 1;
			assertFails(() -> StoreCacheTests.this.storeCache.onConfiguration(view));
			assertThat(subscribedAddresses()).contains(this.added.address());
			StoreCacheTests.this.storeCache.onConfiguration(view);
			assertThat(subscribedAddresses()).isEmpty();
		}

	}

	/**
	 * Map of which one read throws.
	 */
	private static final class FailingMap extends HashMap<String, Upstream> {

		private static final long serialVersionUID = 1L;

		/** Number of the read from now on that throws, or 0 for none. */
		private int failAtRead;

		private int reads;

		FailingMap(Map<String, Upstream> entries) {
			super(entries);
		}

		@Override
		public Collection<Upstream> values() {
			this.reads++;
			if (this.failAtRead > 0 && --this.failAtRead == 0) {
				throw new StackOverflowError("unexpected");
			}
			return super.values();
		}

	}

}
