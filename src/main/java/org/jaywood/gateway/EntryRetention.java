package org.jaywood.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.jaywood.feed.FeedView;

/**
 * Keeps the entries of a feed that are missing after the store was restored from an older
 * copy until their owners have written them again. Designed for entries that were written
 * after the copy was made: without them, upstreams that run would get no calls, and a
 * data centre that was closed would get calls. An entry that is deleted after the restore
 * is not kept. Guarded by the lock of its {@link StoreCache}.
 *
 * @param <T> type of the values
 */
final class EntryRetention<T> {

	private final long retentionMillis;

	private final BinaryOperator<T> resolver;

	private @Nullable FeedView<T> latest;

	private Map<String, T> retained = Map.of();

	private long untilMillis = Long.MIN_VALUE;

	/**
	 * Creates a retention without entries.
	 * @param retentionMillis time after a restore for which missing entries are kept
	 * @param resolver chooses between an entry from before a restore, the first operand,
	 * and the present one of the same name
	 */
	EntryRetention(long retentionMillis, BinaryOperator<T> resolver) {
		this.retentionMillis = retentionMillis;
		this.resolver = resolver;
	}

	/**
	 * Returns a view of the feed with the entries that are kept.
	 * @param view view as read from the store
	 */
	FeedView<T> apply(FeedView<T> view, long nowMillis) {
		FeedView<T> previous = this.latest;
		if (previous != null && view.era() > previous.era()) {
			this.retained = merge(previous, nowMillis).entries();
			this.untilMillis = nowMillis + this.retentionMillis;
		}
		else if (previous != null) {
			forgetDeleted(previous, view);
		}
		this.latest = view;
		return merge(view, nowMillis);
	}

	/**
	 * Forgets entries that were in the store after the restore and are no longer: these
	 * were deleted, while one that the restored store has never had may have been lost.
	 */
	private void forgetDeleted(FeedView<T> previous, FeedView<T> view) {
		this.retained = this.retained.entrySet()
			.stream()
			.filter((entry) -> !previous.entries().containsKey(entry.getKey())
					|| view.entries().containsKey(entry.getKey()))
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	/**
	 * Ends the retention if its time is over.
	 * @return the view without entries from before the restore, or null if none are kept
	 * or their time is not over
	 */
	@Nullable FeedView<T> expire(long nowMillis) {
		if (this.retained.isEmpty() || nowMillis < this.untilMillis) {
			return null;
		}
		this.retained = Map.of();
		return this.latest;
	}

	private FeedView<T> merge(FeedView<T> view, long nowMillis) {
		if (this.retained.isEmpty() || nowMillis >= this.untilMillis) {
			return view;
		}
		Map<String, T> merged = new HashMap<>(this.retained);
		view.entries().forEach((name, value) -> merged.merge(name, value, this.resolver));
		return view.withEntries(Map.copyOf(merged));
	}

}
