package org.jaywood.agent;

import org.junit.jupiter.api.Test;

import org.jaywood.wire.Frame;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a cache that grows beyond its bounds.
 */
class FinishedAnswerCacheTests {

	private static final Frame.Head HEAD = new Frame.Head(200, "text/plain", "");

	@Test
	void evictsOldestByCountAgeAndBytes() {
		FinishedAnswerCache cache = new FinishedAnswerCache(3, 1_000, 80);
		for (int attempt = 1; attempt <= 4; attempt++) {
			cache.keep("r", attempt, HEAD, new byte[10], attempt);
		}
		assertThat(cache.find("r", 1, 5)).isEmpty();
		assertThat(cache.find("r", 2, 5)).isPresent();
		assertThat(cache.count()).isEqualTo(3);
		assertThat(cache.find("r", 2, 1_003)).isEmpty();
		assertThat(cache.bytes()).isEqualTo(20);
	}

	@Test
	void largeAnswerIsNotStored() {
		FinishedAnswerCache cache = new FinishedAnswerCache(3, 1_000, 80);
		cache.keep("r", 1, HEAD, new byte[11], 0);
		assertThat(cache.find("r", 1, 0)).isEmpty();
		assertThat(cache.bytes()).isEqualTo(0);
	}

}
