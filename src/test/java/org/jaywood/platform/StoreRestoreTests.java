package org.jaywood.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;
import org.jaywood.event.EventLog;
import org.jaywood.feed.Feed;
import org.jaywood.feed.FeedException;
import org.jaywood.feed.FeedPage;
import org.jaywood.feed.FeedView;
import org.jaywood.feed.FeedWatcher;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that misses changes, or acts on objects that no longer exist,
 * because it goes on with revisions from before a restore of the store.
 */
class StoreRestoreTests {

	private static final Address ANY_PORT = new Address("127.0.0.1", 0);

	private static final long WAIT_MILLIS = 2_000;

	private final EventLog log = new EventLog("test");

	private final FakeMetadataStore store = new FakeMetadataStore(ANY_PORT, this.log);

	private final List<FeedView<String>> views = new CopyOnWriteArrayList<>();

	private final AtomicBoolean cut = new AtomicBoolean();

	private final FeedWatcher<String> watcher = new FeedWatcher<>(
			new PartitionedFeed(feed(this.store.address()), this.cut::get), WAIT_MILLIS, this.views::add, this.log);

	@AfterEach
	void stop() {
		this.watcher.close();
		this.store.close();
	}

	private ObjectFeed<String> feed(Address address) {
		return new ObjectFeed<>(new MetadataStoreClient(address), "servers",
				(object) -> object.path("Spec").path("Value").asText(), this.log);
	}

	private void put(String name, String value) {
		this.store.put("servers", name, Map.of("Value", value));
	}

	private void awaitEntries(Map<String, String> entries) {
		Awaitility.await().until(() -> !this.views.isEmpty() && this.views.getLast().entries().equals(entries));
	}

	@Nested
	class Watch {

		@Test
		void restoreWhileIdleIsSeen() {
			put("a", "1");
			FakeMetadataStore.Copy copy = StoreRestoreTests.this.store.copy();
			put("b", "1");
			StoreRestoreTests.this.watcher.start();
			awaitEntries(Map.of("a", "1", "b", "1"));
			StoreRestoreTests.this.store.restore(copy);
			awaitEntries(Map.of("a", "1"));
			assertThat(StoreRestoreTests.this.views.getLast().era()).isEqualTo(1);
			assertThat(StoreRestoreTests.this.views.getLast().regainedMillis()).isNotEqualTo(Long.MIN_VALUE);
		}

		@Test
		void changeWhoseRevisionIsGivenOutAgainIsSeen() {
			put("a", "1");
			FakeMetadataStore.Copy copy = StoreRestoreTests.this.store.copy();
			put("b", "1");
			StoreRestoreTests.this.watcher.start();
			awaitEntries(Map.of("a", "1", "b", "1"));
			put("c", "1");
			awaitEntries(Map.of("a", "1", "b", "1", "c", "1"));
			// The watcher pauses after a change, and then goes on from its revision.
			StoreRestoreTests.this.store.restore(copy);
			put("d", "1");
			put("e", "1");
			put("f", "1");
			awaitEntries(Map.of("a", "1", "d", "1", "e", "1", "f", "1"));
		}

		@Test
		void restoreWithoutLostWritesIsSeenByItsEra() {
			put("a", "1");
			StoreRestoreTests.this.watcher.start();
			awaitEntries(Map.of("a", "1"));
			StoreRestoreTests.this.store.restore(StoreRestoreTests.this.store.copy());
			Awaitility.await().until(() -> StoreRestoreTests.this.views.getLast().era() == 1);
			put("b", "1");
			awaitEntries(Map.of("a", "1", "b", "1"));
		}

		@Test
		void twoRestoresInARowAreSeen() {
			put("a", "1");
			FakeMetadataStore.Copy copy = StoreRestoreTests.this.store.copy();
			StoreRestoreTests.this.watcher.start();
			awaitEntries(Map.of("a", "1"));
			put("b", "1");
			StoreRestoreTests.this.store.restore(copy);
			put("c", "1");
			StoreRestoreTests.this.store.restore(copy);
			put("d", "1");
			awaitEntries(Map.of("a", "1", "d", "1"));
			assertThat(StoreRestoreTests.this.views.getLast().era()).isEqualTo(2);
		}

		@Test
		void processThatWasPartitionedThroughARestoreListsAgain() {
			put("a", "1");
			FakeMetadataStore.Copy copy = StoreRestoreTests.this.store.copy();
			put("b", "1");
			StoreRestoreTests.this.watcher.start();
			awaitEntries(Map.of("a", "1", "b", "1"));
			StoreRestoreTests.this.cut.set(true);
			StoreRestoreTests.this.store.restore(copy);
			Awaitility.await().until(() -> !StoreRestoreTests.this.watcher.isReachable());
			put("c", "1");
			StoreRestoreTests.this.cut.set(false);
			awaitEntries(Map.of("a", "1", "c", "1"));
			assertThat(StoreRestoreTests.this.views.getLast().era()).isEqualTo(1);
		}

		@Test
		void storeWithoutErasIsReadAsBefore() {
			put("a", "1");
			StoreRestoreTests.this.watcher.start();
			awaitEntries(Map.of("a", "1"));
			put("b", "1");
			awaitEntries(Map.of("a", "1", "b", "1"));
			assertThat(StoreRestoreTests.this.views.getLast().era()).isEqualTo(0);
			assertThat(StoreRestoreTests.this.views.getLast().regainedMillis()).isEqualTo(Long.MIN_VALUE);
		}

	}

	@Nested
	class EraOfResponses {

		@Test
		void listWhosePagesAreOfTwoErasFails() {
			HttpPort port = HttpPort.open(ANY_PORT, StoreRestoreTests.this.log)
				.route("GET", "/objects/", (exchange) -> {
					boolean first = !exchange.query().containsKey("StartAfter");
					exchange.setHeader("Store-Era", first ? "1" : "2");
					exchange.respondJson(200,
							Map.of("Items", List.of(Map.of("Metadata", Map.of("Name", first ? "a" : "b"))), "HasMore",
									first, "AsOf", 5));
				})
				.start();
			try {
				FeedException failure = Failures.thrownBy(FeedException.class, feed(port.address())::list);
				assertThat(failure).hasMessageThat().contains("eras 1 and 2");
			}
			finally {
				port.close();
			}
		}

		@ParameterizedTest
		@ValueSource(strings = { "x", "-1", "1.5", "99999999999", "4294967296" })
		void responseWithMalformedEraIsDiscarded(String era) {
			HttpPort port = HttpPort.open(ANY_PORT, StoreRestoreTests.this.log)
				.route("GET", "/objects/", (exchange) -> {
					exchange.setHeader("Store-Era", era);
					exchange.respondJson(200, Map.of("Items", List.of(), "HasMore", false, "AsOf", 5));
				})
				.start();
			try {
				Failures.thrownBy(FeedException.class, feed(port.address())::list);
			}
			finally {
				port.close();
			}
		}

	}

	/**
	 * Feed of a process that is cut off from the store while a condition holds.
	 */
	private record PartitionedFeed(Feed<String> feed, BooleanSupplier cut) implements Feed<String> {

		@Override
		public String name() {
			return this.feed.name();
		}

		@Override
		public FeedPage<String> list() throws FeedException {
			requireContact();
			return this.feed.list();
		}

		@Override
		public FeedPage<String> watch(long revision, long waitMillis) throws FeedException {
			requireContact();
			FeedPage<String> page = this.feed.watch(revision, waitMillis);
			requireContact();
			return page;
		}

		private void requireContact() throws FeedException {
			if (this.cut.getAsBoolean()) {
				throw new FeedException("cut off", null);
			}
		}

	}

}
