package org.jaywood.feed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

class FeedWatcherTests {

	private static final long WAIT_MILLIS = 50;

	private final ScriptedFeed feed = new ScriptedFeed();

	private final FeedWatcher<String> watcher = new FeedWatcher<>(this.feed, WAIT_MILLIS, (view) -> {
	}, new EventLog("test"));

	/**
	 * Guards against a view that misses changes, or is reported as newer than it is.
	 */
	@Nested
	class CurrentView {

		@Test
		void viewReflectsChangesAndDeletions() {
			FeedWatcherTests.this.feed.add(new FeedPage<>(5, List.of(new FeedEntry<>("a", "1"))));
			FeedWatcherTests.this.feed
				.add(new FeedPage<>(6, List.of(new FeedEntry<>("b", "2"), new FeedEntry<>("a", null))));
			FeedWatcherTests.this.watcher.start();
			Awaitility.await().until(() -> revision() == 6);
			assertThat(FeedWatcherTests.this.watcher.view().entries()).containsExactly("b", "2");
		}

		@Test
		void objectsAreRelistedWhenHistoryIsLost() {
			FeedWatcherTests.this.feed.add(new FeedPage<>(5, List.of(new FeedEntry<>("a", "1"))));
			FeedWatcherTests.this.feed.add(new HistoryLostException("gone"));
			FeedWatcherTests.this.feed.add(new FeedPage<>(9, List.of(new FeedEntry<>("c", "3"))));
			FeedWatcherTests.this.watcher.start();
			Awaitility.await().until(() -> revision() == 9);
			assertThat(FeedWatcherTests.this.watcher.view().entries()).containsExactly("c", "3");
			assertThat(FeedWatcherTests.this.feed.firstCalls(3)).containsExactly("list", "watch", "list").inOrder();
		}

		@Test
		void objectsAreRelistedWhenWatchFails() {
			FeedWatcherTests.this.feed.add(new FeedPage<>(5, List.of(new FeedEntry<>("a", "1"))));
			FeedWatcherTests.this.feed.add(new FeedException("cut", null));
			FeedWatcherTests.this.feed.add(new FeedPage<>(7, List.of()));
			FeedWatcherTests.this.watcher.start();
			Awaitility.await().until(() -> revision() == 7);
			assertThat(FeedWatcherTests.this.watcher.view().entries()).isEmpty();
		}

		@Test
		void viewIsNotConfirmedDuringOutage() {
			FeedWatcherTests.this.feed.add(new FeedPage<>(5, List.of()));
			long beforeMillis = BootClock.nowMillis();
			for (int failure = 0; failure < 3; failure++) {
				FeedWatcherTests.this.feed.add(new FeedException("down", null));
			}
			FeedWatcherTests.this.watcher.start();
			Awaitility.await().until(() -> FeedWatcherTests.this.feed.responses.isEmpty());
			FeedView<String> view = FeedWatcherTests.this.watcher.view();
			assertThat(view.confirmedMillis()).isAtMost(beforeMillis + 5 * WAIT_MILLIS + 1_000);
			assertThat(view.revision()).isEqualTo(5);
		}

		private long revision() {
			FeedView<String> view = FeedWatcherTests.this.watcher.view();
			return (view != null) ? view.revision() : -1;
		}

	}

	/**
	 * Guards against a watch that goes on with revisions from before a restore of the
	 * store, and against responses that were sent before it.
	 */
	@Nested
	class RestoredStore {

		@Test
		void objectsAreListedAgainWhenEraRises() {
			FeedWatcherTests.this.feed.add(page(0, 5, "a"));
			FeedWatcherTests.this.feed.add(page(1, 6, "b"));
			FeedWatcherTests.this.feed.add(page(1, 3, "c"));
			FeedView<String> view = awaitView(1, 3);
			assertThat(view.entries()).containsExactly("c", "c");
			assertThat(view.relisted()).isTrue();
			assertThat(view.regainedMillis()).isNotEqualTo(Long.MIN_VALUE);
			assertThat(FeedWatcherTests.this.feed.firstCalls(3)).containsExactly("list", "watch", "list").inOrder();
		}

		@Test
		void restoreDuringOutageCountsAsRegained() {
			FeedWatcherTests.this.feed.add(page(4, 5, "a"));
			FeedWatcherTests.this.feed.add(new HistoryLostException("unknown revision"));
			FeedWatcherTests.this.feed.add(page(5, 3));
			assertThat(awaitView(5, 3).regainedMillis()).isNotEqualTo(Long.MIN_VALUE);
		}

		@Test
		void lossOfHistoryWithinAnEraIsNoRestore() {
			FeedWatcherTests.this.feed.add(page(4, 5, "a"));
			FeedWatcherTests.this.feed.add(new HistoryLostException("gone"));
			FeedWatcherTests.this.feed.add(page(4, 9));
			assertThat(awaitView(4, 9).regainedMillis()).isEqualTo(Long.MIN_VALUE);
		}

		@Test
		void responseOfEarlierEraIsDiscarded() {
			FeedWatcherTests.this.feed.add(page(1, 5, "a"));
			FeedWatcherTests.this.feed.add(page(0, 90, "late"));
			FeedWatcherTests.this.feed.add(page(0, 91, "late"));
			FeedWatcherTests.this.feed.add(page(1, 6, "b"));
			assertThat(awaitView(1, 6).entries()).containsExactly("b", "b");
			assertThat(FeedWatcherTests.this.feed.firstCalls(4)).containsExactly("list", "watch", "list", "list")
				.inOrder();
		}

		@Test
		void listOfEarlierEraAfterRiseIsDiscarded() {
			FeedWatcherTests.this.feed.add(page(0, 5, "a"));
			FeedWatcherTests.this.feed.add(page(1, 5));
			FeedWatcherTests.this.feed.add(page(0, 6, "late"));
			FeedWatcherTests.this.feed.add(page(1, 4, "b"));
			assertThat(awaitView(1, 4).entries()).containsExactly("b", "b");
		}

		@Test
		void secondRestoreBeforeTheListIsSeen() {
			FeedWatcherTests.this.feed.add(page(0, 5, "a"));
			FeedWatcherTests.this.feed.add(page(1, 5));
			FeedWatcherTests.this.feed.add(page(2, 3, "b"));
			assertThat(awaitView(2, 3).entries()).containsExactly("b", "b");
		}

		private FeedPage<String> page(long era, long revision, String... names) {
			return new FeedPage<>(era, revision, Stream.of(names).map((name) -> new FeedEntry<>(name, name)).toList());
		}

		private FeedView<String> awaitView(long era, long revision) {
			FeedWatcherTests.this.watcher.start();
			Awaitility.await().until(() -> {
				FeedView<String> view = FeedWatcherTests.this.watcher.view();
				return view != null && view.era() == era && view.revision() == revision;
			});
			return FeedWatcherTests.this.watcher.view();
		}

	}

	/**
	 * Guards against an error that ends the watch for good, or loses a change.
	 */
	@Nested
	class TaskErrors {

		private final List<FeedView<String>> receivedViews = new CopyOnWriteArrayList<>();

		private final Deque<Throwable> failures = new ConcurrentLinkedDeque<>();

		private final ScriptedFeed feed = new ScriptedFeed();

		private final FeedWatcher<String> watcher = new FeedWatcher<>(this.feed, WAIT_MILLIS, this::onView,
				new EventLog("test"));

		private void onView(FeedView<String> view) {
			Throwable failure = this.failures.poll();
			if (failure instanceof Error error) {
				throw error;
			}
			if (failure instanceof RuntimeException unchecked) {
				throw unchecked;
			}
			this.receivedViews.add(view);
		}

		@AfterEach
		void stop() {
			this.watcher.close();
		}

		@Test
		void watcherContinuesAfterErrorOfFeed() {
			this.feed.add(new StackOverflowError("malformed object"));
			this.feed.add(new FeedPage<>(5, List.of(new FeedEntry<>("a", "1"))));
			this.watcher.start();
			Awaitility.await().until(() -> !this.receivedViews.isEmpty());
			assertThat(this.receivedViews.getFirst().entries()).containsExactly("a", "1");
		}

		@Test
		void changeIsDeliveredAfterErrorOfListener() {
			this.failures.add(new StackOverflowError("listener"));
			this.failures.add(new IllegalStateException("listener"));
			this.feed.add(new FeedPage<>(5, List.of(new FeedEntry<>("a", "1"))));
			this.feed.add(new FeedPage<>(6, List.of(new FeedEntry<>("b", "2"))));
			this.watcher.start();
			Awaitility.await().until(() -> !this.receivedViews.isEmpty());
			assertThat(this.receivedViews.getFirst().entries()).containsExactly("a", "1", "b", "2");
			assertThat(this.receivedViews.getFirst().relisted()).isTrue();
		}

		@Test
		void changeIsRedeliveredBeforeNextRead() {
			this.failures.add(new IllegalStateException("listener"));
			this.feed.add(new FeedPage<>(5, List.of(new FeedEntry<>("a", "1"))));
			this.watcher.start();
			Awaitility.await().until(() -> !this.receivedViews.isEmpty());
			assertThat(this.receivedViews.getFirst().entries()).containsExactly("a", "1");
		}

		@Test
		void watcherContinuesWhenListenerAlwaysFails() {
			IntStream.range(0, 100).forEach((number) -> this.failures.add(new IllegalStateException("listener")));
			this.feed.add(new FeedPage<>(5, List.of(new FeedEntry<>("a", "1"))));
			this.feed.add(new FeedPage<>(6, List.of(new FeedEntry<>("b", "2"))));
			this.watcher.start();
			Awaitility.await().until(() -> this.feed.calls.size() >= 2);
			assertThat(this.feed.firstCalls(2)).containsExactly("list", "watch").inOrder();
		}

	}

	/**
	 * Guards against a starting fleet that costs each process one call for each entry.
	 */
	@Nested
	class ChangeBatches {

		private static final long OBSERVED_MILLIS = 1_000;

		private static final int MAX_CALLS = 10;

		@Test
		void closeChangesAreReadWithOneCall() {
			ChangingFeed changing = new ChangingFeed();
			FeedWatcher<String> batchingWatcher = new FeedWatcher<>(changing, WAIT_MILLIS, (view) -> {
			}, new EventLog("test"));
			batchingWatcher.start();
			Awaitility.await().pollDelay(OBSERVED_MILLIS, TimeUnit.MILLISECONDS).until(() -> changing.calls.get() > 1);
			batchingWatcher.close();
			assertThat(changing.calls.get()).isLessThan(MAX_CALLS);
		}

		@Test
		void delayGrowsWhileChangesContinue() {
			ChangingFeed changing = new ChangingFeed();
			FeedWatcher<String> batchingWatcher = new FeedWatcher<>(changing, WAIT_MILLIS, OBSERVED_MILLIS, (view) -> {
			}, new EventLog("test"));
			batchingWatcher.start();
			Awaitility.await()
				.pollDelay(4 * OBSERVED_MILLIS, TimeUnit.MILLISECONDS)
				.until(() -> changing.calls.get() > 1);
			batchingWatcher.close();
			assertThat(changing.calls.get()).isAtMost(MAX_CALLS);
		}

	}

	/**
	 * Guards against calls that are refused because the view is stale: a change ended the
	 * wait that would have confirmed the view, and the next wait takes as long again.
	 */
	@Nested
	class ViewAge {

		private static final long LONG_WAIT_MILLIS = 1_000;

		private static final long OBSERVED_MILLIS = 3 * LONG_WAIT_MILLIS;

		@Test
		void changeAtEndOfWaitDoesNotDoubleAgeOfView() throws InterruptedException {
			FeedWatcher<String> lateWatcher = new FeedWatcher<>(new LateChangeFeed(), LONG_WAIT_MILLIS, (view) -> {
			}, new EventLog("test")).start();
			Awaitility.await().until(() -> lateWatcher.view() != null);
			long endMillis = BootClock.nowMillis() + OBSERVED_MILLIS;
			long maxAgeMillis = 0;
			while (BootClock.nowMillis() < endMillis) {
				maxAgeMillis = Math.max(maxAgeMillis, BootClock.nowMillis() - lateWatcher.view().confirmedMillis());
				Thread.sleep(5);
			}
			lateWatcher.close();
			assertThat(maxAgeMillis).isLessThan(2 * LONG_WAIT_MILLIS);
		}

	}

	/**
	 * Feed with one change, shortly before the end of the first wait.
	 */
	private static final class LateChangeFeed implements Feed<String> {

		private boolean changed;

		@Override
		public String name() {
			return "late";
		}

		@Override
		public FeedPage<String> list() {
			return new FeedPage<>(1, List.of());
		}

		@Override
		public FeedPage<String> watch(long revision, long waitMillis) throws FeedException {
			try {
				Thread.sleep(this.changed ? waitMillis : waitMillis * 9 / 10);
			}
			catch (InterruptedException ex) {
				throw new FeedException("interrupted", ex);
			}
			List<FeedEntry<String>> entries = this.changed ? List.of() : List.of(new FeedEntry<>("a", "1"));
			this.changed = true;
			return new FeedPage<>(2, entries);
		}

	}

	/**
	 * Feed that always has a change.
	 */
	private static final class ChangingFeed implements Feed<String> {

		private final AtomicInteger calls = new AtomicInteger();

		@Override
		public String name() {
			return "restless";
		}

		@Override
		public FeedPage<String> list() {
			return watch(0, 0);
		}

		@Override
		public FeedPage<String> watch(long revision, long waitMillis) {
			int call = this.calls.incrementAndGet();
			return new FeedPage<>(call, List.of(new FeedEntry<>("a", "value-" + call)));
		}

	}

	/**
	 * Feed that returns prepared responses and then fails.
	 */
	private static final class ScriptedFeed implements Feed<String> {

		private final Deque<Object> responses = new ArrayDeque<>();

		private final List<String> calls = new CopyOnWriteArrayList<>();

		synchronized void add(Object response) {
			this.responses.add(response);
		}

		List<String> firstCalls(int count) {
			return List.copyOf(this.calls).subList(0, count);
		}

		@Override
		public String name() {
			return "scripted";
		}

		@Override
		public FeedPage<String> list() throws FeedException {
			this.calls.add("list");
			return nextResponse();
		}

		@Override
		public FeedPage<String> watch(long revision, long waitMillis) throws FeedException {
			this.calls.add("watch");
			return nextResponse();
		}

		@SuppressWarnings("unchecked")
		private synchronized FeedPage<String> nextResponse() throws FeedException {
			Object response = this.responses.poll();
			if (response instanceof FeedException failure) {
				throw failure;
			}
			if (response instanceof Error error) {
				throw error;
			}
			if (response == null) {
				throw new FeedException("no more responses", null);
			}
			return (FeedPage<String>) response;
		}

	}

}
