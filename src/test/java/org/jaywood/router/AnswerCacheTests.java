package org.jaywood.router;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.junit.jupiter.api.Test;

import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Compares the cache of finished answers with W-TinyLFU of Caffeine. Guards against a
 * cache that evicts the answers of the last seconds, which are repeated most.
 */
class AnswerCacheTests {

	private static final int CALL_COUNT = 200_000;

	private static final int CALLS_PER_SECOND = 300;

	/** Holds the answers of about seven seconds. */
	private static final int MAX_ENTRIES = 2_000;

	private static final double REPEAT_PROBABILITY = 0.1;

	private static final double MEAN_REPEAT_DELAY_SECONDS = 2;

	/** Share of repeats that come minutes later, after a restart of the caller. */
	private static final double LATE_REPEAT_SHARE = 0.05;

	private static final Claim CLAIM = new Claim("w", "p", new CallAttempt("r",
			new VmRecord("vm", "agent", "s", "here", "own", new Address("127.0.0.1", 1), VmState.LIVE), "i", 1, "id"),
			true, null, null);

	@Test
	void hitRateOfRecentRepeatsIsAtLeastThatOfCaffeine() {
		Cache<Long, Boolean> caffeine = Caffeine.newBuilder().maximumSize(MAX_ENTRIES).executor(Runnable::run).build();
		AnswerCache lru = new AnswerCache(MAX_ENTRIES * 512L);
		int[] hits = new int[2];
		int repeatCount = 0;
		Random random = new Random(1);
		Deque<Long>[] dueRepeats = emptySchedule();
		for (int i = 0; i < CALL_COUNT; i++) {
			for (long key : dueRepeats[i]) {
				repeatCount++;
				hits[0] += (caffeine.getIfPresent(key) != null) ? 1 : 0;
				hits[1] += (lru.get(claimName(key)) != null) ? 1 : 0;
				caffeine.put(key, true);
				lru.put(claimName(key), CLAIM);
			}
			long key = ((long) randomWorkspace(random) << 32) + i;
			caffeine.put(key, true);
			lru.put(claimName(key), CLAIM);
			// A large workspace repeats more often than a small one.
			double repeatProbability = (workspaceOf(key) < 2) ? REPEAT_PROBABILITY : REPEAT_PROBABILITY / 2;
			if (random.nextDouble() < repeatProbability) {
				boolean isLate = random.nextDouble() < LATE_REPEAT_SHARE;
				double delaySeconds = -Math.log(1 - random.nextDouble()) * (isLate ? 100 : 1)
						* MEAN_REPEAT_DELAY_SECONDS;
				int dueCall = i + 1 + (int) (delaySeconds * CALLS_PER_SECOND);
				if (dueCall < CALL_COUNT) {
					dueRepeats[dueCall].add(key);
				}
			}
		}
		double caffeineRate = hits[0] / (double) repeatCount;
		double lruRate = hits[1] / (double) repeatCount;
		System.out
			.println("answer cache: repeats " + repeatCount + " hit rate caffeine " + caffeineRate + " lru " + lruRate);
		assertThat(lruRate).isAtLeast(0.9);
		assertThat(lruRate).isAtLeast(caffeineRate);
	}

	@SuppressWarnings("unchecked")
	private static Deque<Long>[] emptySchedule() {
		Deque<Long>[] dueRepeats = new Deque[CALL_COUNT];
		for (int i = 0; i < CALL_COUNT; i++) {
			dueRepeats[i] = new ArrayDeque<>(1);
		}
		return dueRepeats;
	}

	private static ClaimName claimName(long key) {
		return new ClaimName("claims", Long.toString(key));
	}

	private static int randomWorkspace(Random random) {
		return Math.min(9, (int) (-Math.log(1 - random.nextDouble()) / Math.log(2)));
	}

	private static int workspaceOf(long key) {
		return (int) (key >>> 32);
	}

}
