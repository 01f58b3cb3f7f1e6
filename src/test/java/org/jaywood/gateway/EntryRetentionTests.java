package org.jaywood.gateway;

import java.util.Map;

import org.junit.jupiter.api.Test;

import org.jaywood.feed.FeedView;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against entries that are lost, or kept for too long, after the store was
 * restored from an older copy.
 */
class EntryRetentionTests {

	private static final long NOW_MILLIS = 100_000;

	private static final long RETENTION_MILLIS = 2_200;

	private final EntryRetention<String> retention = new EntryRetention<>(RETENTION_MILLIS,
			(before, present) -> (before.compareTo(present) > 0) ? before : present);

	private Map<String, String> apply(long era, Map<String, String> entries, long nowMillis) {
		return this.retention.apply(new FeedView<>(entries, era, 1, nowMillis, Long.MIN_VALUE, true), nowMillis)
			.entries();
	}

	@Test
	void entryThatIsMissingAfterARestoreIsKeptForAWhile() {
		apply(0, Map.of("a", "1", "b", "1"), NOW_MILLIS);
		assertThat(apply(1, Map.of("a", "1"), NOW_MILLIS)).containsExactly("a", "1", "b", "1");
		assertThat(this.retention.expire(NOW_MILLIS + RETENTION_MILLIS - 1)).isNull();
		assertThat(this.retention.expire(NOW_MILLIS + RETENTION_MILLIS).entries()).containsExactly("a", "1");
		assertThat(this.retention.expire(NOW_MILLIS + RETENTION_MILLIS)).isNull();
	}

	@Test
	void entryThatIsMissingWithoutARestoreIsNotKept() {
		apply(1, Map.of("a", "1", "b", "1"), NOW_MILLIS);
		assertThat(apply(1, Map.of("a", "1"), NOW_MILLIS)).containsExactly("a", "1");
	}

	@Test
	void resolverChoosesBetweenEntriesOfOneName() {
		apply(0, Map.of("a", "2", "b", "2"), NOW_MILLIS);
		assertThat(apply(1, Map.of("a", "1", "b", "3"), NOW_MILLIS)).containsExactly("a", "2", "b", "3");
	}

	@Test
	void entriesAreKeptThroughTwoRestoresInARow() {
		apply(0, Map.of("a", "1"), NOW_MILLIS);
		apply(1, Map.of(), NOW_MILLIS + 500);
		assertThat(apply(2, Map.of(), NOW_MILLIS + 1_000)).containsExactly("a", "1");
		assertThat(this.retention.expire(NOW_MILLIS + 500 + RETENTION_MILLIS)).isNull();
		assertThat(this.retention.expire(NOW_MILLIS + 1_000 + RETENTION_MILLIS).entries()).isEmpty();
	}

	/**
	 * Guards against calls to an upstream that has ended, and against a data centre that
	 * stays closed, after a restore.
	 */
	@Test
	void entryThatIsDeletedAfterTheRestoreIsNotKept() {
		apply(0, Map.of("a", "1", "b", "1"), NOW_MILLIS);
		apply(1, Map.of("a", "1"), NOW_MILLIS);
		assertThat(apply(1, Map.of(), NOW_MILLIS + 100)).containsExactly("b", "1");
		apply(1, Map.of("b", "1"), NOW_MILLIS + 200);
		assertThat(apply(1, Map.of(), NOW_MILLIS + 300)).isEmpty();
		assertThat(apply(2, Map.of(), NOW_MILLIS + 400)).isEmpty();
	}

	@Test
	void firstViewKeepsNothing() {
		assertThat(apply(3, Map.of("a", "1"), NOW_MILLIS)).containsExactly("a", "1");
		assertThat(this.retention.expire(Long.MAX_VALUE)).isNull();
	}

}
