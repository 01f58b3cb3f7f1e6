package org.jaywood.feed;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;

/**
 * Keeps the view of one feed current by a watch, on a thread of its own. A watch without
 * a response does not show that the view is current, so the watcher requests a response
 * at short intervals and records up to which time its view is current.
 * <p>
 * When the era of the store rises, the store was restored from an older copy and may give
 * out revisions again that the watch has passed. The objects are then listed again, and
 * responses of earlier eras are discarded.
 *
 * @param <T> type of the values
 */
public final class FeedWatcher<T> implements AutoCloseable {

	private static final long INITIAL_BACKOFF_MILLIS = 50;

	private static final long MAX_BACKOFF_MILLIS = 400;

	/**
	 * Maximum delay after a single change before the next read, so that changes in close
	 * succession cost each process one call.
	 */
	private static final long BATCH_DELAY_MILLIS = 400;

	/**
	 * Maximum wait of the watch that follows a list or a change. Their responses do not
	 * say how current they are: until the next response the view counts as current only
	 * up to the time of their request.
	 */
	private static final long MAX_CONFIRM_WAIT_MILLIS = 300;

	/**
	 * Minimum gap between responses that counts as an outage; a shorter one is an
	 * ordinary retry.
	 */
	private static final long MIN_OUTAGE_MILLIS = 600;

	private final Feed<T> feed;

	private final long waitMillis;

	private final long maxBatchDelayMillis;

	private final Consumer<FeedView<T>> listener;

	private final EventLog log;

	private final Thread thread;

	private final Map<String, T> entries = new TreeMap<>();

	private long revision = -1;

	/** Highest era that a response stated, -1 before the first response. */
	private long era = -1;

	private long confirmedMillis = Long.MIN_VALUE;

	private long lastResponseMillis;

	private long regainedMillis = Long.MIN_VALUE;

	private long batchDelayMillis = BATCH_DELAY_MILLIS;

	private boolean confirmationPending;

	/** Whether the listener accepted the latest view. */
	private boolean viewDelivered = true;

	private volatile boolean isReachable = true;

	private volatile boolean closed;

	private volatile @Nullable FeedView<T> view;

	/**
	 * Creates a watcher that reads each change within half a second.
	 * @param feed feed to watch
	 * @param waitMillis interval at which the store confirms that nothing changed
	 * @param listener receives each new view, on the thread of the watcher
	 * @param log log for lost and regained contact
	 */
	public FeedWatcher(Feed<T> feed, long waitMillis, Consumer<FeedView<T>> listener, EventLog log) {
		this(feed, waitMillis, BATCH_DELAY_MILLIS, listener, log);
	}

	/**
	 * Creates a watcher.
	 * @param feed feed to watch
	 * @param waitMillis interval at which the store confirms that nothing changed
	 * @param maxBatchDelayMillis maximum delay after a change while changes continue
	 * @param listener receives each new view, on the thread of the watcher
	 * @param log log for lost and regained contact
	 */
	public FeedWatcher(Feed<T> feed, long waitMillis, long maxBatchDelayMillis, Consumer<FeedView<T>> listener,
			EventLog log) {
		this.feed = feed;
		this.waitMillis = waitMillis;
		this.maxBatchDelayMillis = maxBatchDelayMillis;
		this.listener = listener;
		this.log = log;
		this.thread = Thread.ofPlatform().daemon().name("follow-" + feed.name()).unstarted(this::run);
	}

	public FeedWatcher<T> start() {
		this.lastResponseMillis = BootClock.nowMillis();
		this.thread.start();
		return this;
	}

	/**
	 * Returns the latest view, or null before the first response of the store.
	 */
	public @Nullable FeedView<T> view() {
		return this.view;
	}

	/**
	 * Whether the store answered the last call.
	 */
	public boolean isReachable() {
		return this.isReachable;
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

	private void run() {
		long backoffMillis = INITIAL_BACKOFF_MILLIS;
		while (!this.closed) {
			try {
				readNextPage();
				backoffMillis = INITIAL_BACKOFF_MILLIS;
			}
			catch (HistoryLostException ex) {
				this.log.log(Event.FEED_HISTORY_LOST, "feed", this.feed.name(), "revision", this.revision);
				this.revision = -1;
			}
			catch (FeedException ex) {
				onFailure(ex);
				// A watch may continue after a gap in the history when it was
				// interrupted; a list has no gap.
				this.revision = -1;
				sleepWithJitter(backoffMillis);
				backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
			}
			catch (RuntimeException | Error ex) {
				delayAfterError(ex);
			}
		}
	}

	private void readNextPage() throws FeedException {
		FeedView<T> latest = this.view;
		if (latest != null && !this.viewDelivered) {
			deliver(latest);
		}
		long requestMillis = BootClock.nowMillis();
		if (this.revision < 0) {
			FeedPage<T> page = this.feed.list();
			requirePresentEra(page);
			this.entries.clear();
			this.confirmationPending = true;
			applyPage(page, requestMillis, true);
			return;
		}
		long pageWaitMillis = this.confirmationPending ? Math.min(MAX_CONFIRM_WAIT_MILLIS, this.waitMillis)
				: this.waitMillis;
		FeedPage<T> page = this.feed.watch(this.revision, pageWaitMillis);
		boolean restored = page.era() > this.era;
		requirePresentEra(page);
		if (restored) {
			this.revision = -1;
			return;
		}
		// An empty response is sent at the end of the wait, not at its start.
		boolean unchanged = page.entries().isEmpty();
		long nowMillis = BootClock.nowMillis();
		this.confirmationPending = !unchanged;
		applyPage(page, unchanged ? Math.min(nowMillis, requestMillis + pageWaitMillis) : requestMillis, false);
		if (unchanged) {
			this.batchDelayMillis = BATCH_DELAY_MILLIS;
		}
		else {
			sleepWithJitter(this.batchDelayMillis);
			this.batchDelayMillis = Math.min(this.maxBatchDelayMillis, 2 * this.batchDelayMillis);
		}
	}

	/**
	 * Discards a response of an earlier era: it was sent before the store was restored.
	 */
	private void requirePresentEra(FeedPage<T> page) throws FeedException {
		if (page.era() < this.era) {
			throw new FeedException("response of era " + page.era() + " after one of era " + this.era, null);
		}
		this.era = page.era();
	}

	private void applyPage(FeedPage<T> page, long currentUpToMillis, boolean isList) {
		long nowMillis = BootClock.nowMillis();
		onResponse(nowMillis);
		FeedView<T> previous = this.view;
		if (previous != null && page.era() > previous.era()) {
			this.regainedMillis = nowMillis;
		}
		page.entries().forEach(this::applyEntry);
		this.revision = page.revision();
		this.confirmedMillis = Math.max(this.confirmedMillis, currentUpToMillis);
		boolean previousRelisted = previous != null && !this.viewDelivered && previous.relisted();
		FeedView<T> next = new FeedView<>(Map.copyOf(this.entries), page.era(), this.revision, this.confirmedMillis,
				this.regainedMillis, isList || previousRelisted);
		this.view = next;
		deliver(next);
	}

	/**
	 * Passes a view to the listener. A view whose listener failed is passed again before
	 * the next read, and its changes are part of the next view.
	 */
	private void deliver(FeedView<T> next) {
		this.viewDelivered = false;
		try {
			this.listener.accept(next);
			this.viewDelivered = true;
		}
		catch (RuntimeException | Error ex) {
			delayAfterError(ex);
		}
	}

	private void applyEntry(FeedEntry<T> entry) {
		if (entry.value() == null) {
			this.entries.remove(entry.name());
		}
		else {
			this.entries.put(entry.name(), entry.value());
		}
	}

	private void onResponse(long nowMillis) {
		if (nowMillis - this.lastResponseMillis > MIN_OUTAGE_MILLIS + this.waitMillis || !this.isReachable) {
			this.regainedMillis = nowMillis;
		}
		if (!this.isReachable) {
			this.isReachable = true;
			this.log.log(Event.FEED_REGAINED, "feed", this.feed.name(), "millis", nowMillis - this.lastResponseMillis);
		}
		this.lastResponseMillis = nowMillis;
	}

	private void onFailure(FeedException failure) {
		if (this.isReachable) {
			this.isReachable = false;
			this.log.log(Event.FEED_LOST, "feed", this.feed.name(), "revision", this.revision, "error",
					failure.getMessage());
		}
	}

	private void delayAfterError(Throwable error) {
		new TaskGuard("follow-" + this.feed.name(), this.log).onError(error);
		sleepWithJitter(MAX_BACKOFF_MILLIS);
	}

	private void sleepWithJitter(long millis) {
		try {
			Thread.sleep(millis / 2 + ThreadLocalRandom.current().nextLong(millis / 2 + 1));
		}
		catch (InterruptedException ex) {
			if (!this.closed) {
				this.log.log(Event.TASK_FAILED, "task", "follow-" + this.feed.name(), "error", ex);
			}
		}
	}

}
