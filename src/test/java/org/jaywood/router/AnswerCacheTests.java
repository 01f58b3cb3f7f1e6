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
 * Measures the cache of finished answers against W-TinyLFU of Caffeine, and guards
 * against a cache that forgets the answers of the last seconds, which are repeated most.
 */
class AnswerCacheTests {

	private static final int CALLS = 200_000;

	private static final int CALLS_PER_SECOND = 300;

	/** Answers of about seven seconds. */
	private static final int CAPACITY = 2_000;

	private static final double REPEATS = 0.1;

	private static final double MEAN_DELAY_SECONDS = 2;

	/** Repeats that come minutes later, after a caller restarted. */
	private static final double LATE_SHARE = 0.05;

	private static final Claim CLAIM = new Claim("w", "p", new CallAttempt("r",
			new VmRecord("vm", "agent", "s", "here", "own", new Address("127.0.0.1", 1), VmState.LIVE), "i", 1, "id"),
			true, null, null);

	@Test
	void keepsAnswersOfTheLastSeconds() {
		Cache<Long, Boolean> caffeine = Caffeine.newBuilder().maximumSize(CAPACITY).executor(Runnable::run).build();
		AnswerCache lru = new AnswerCache(CAPACITY * 512L);
		int[] hits = new int[2];
		int repeats = 0;
		Random random = new Random(1);
		Deque<Long>[] due = schedule();
		for (int i = 0; i < CALLS; i++) {
			for (long key : due[i]) {
				repeats++;
				hits[0] += (caffeine.getIfPresent(key) != null) ? 1 : 0;
				hits[1] += (lru.get(name(key)) != null) ? 1 : 0;
				caffeine.put(key, true);
				lru.put(name(key), CLAIM);
			}
			long key = ((long) workspace(random) << 32) + i;
			caffeine.put(key, true);
			lru.put(name(key), CLAIM);
			// A large workspace repeats more often than a small one.
			double chance = (workspaceOf(key) < 2) ? REPEATS : REPEATS / 2;
			if (random.nextDouble() < chance) {
				boolean late = random.nextDouble() < LATE_SHARE;
				double seconds = -Math.log(1 - random.nextDouble()) * (late ? 100 : 1) * MEAN_DELAY_SECONDS;
				int at = i + 1 + (int) (seconds * CALLS_PER_SECOND);
				if (at < CALLS) {
					due[at].add(key);
				}
			}
		}
		double caffeineRate = hits[0] / (double) repeats;
		double lruRate = hits[1] / (double) repeats;
		System.out
			.println("answer cache: repeats " + repeats + " hit rate caffeine " + caffeineRate + " lru " + lruRate);
		assertThat(lruRate).isAtLeast(0.9);
		assertThat(lruRate).isAtLeast(caffeineRate);
	}

	@SuppressWarnings("unchecked")
	private static Deque<Long>[] schedule() {
		Deque<Long>[] due = new Deque[CALLS];
		for (int i = 0; i < CALLS; i++) {
			due[i] = new ArrayDeque<>(1);
		}
		return due;
	}

	private static ClaimName name(long key) {
		return new ClaimName("claims", Long.toString(key));
	}

	private static int workspace(Random random) {
		return Math.min(9, (int) (-Math.log(1 - random.nextDouble()) / Math.log(2)));
	}

	private static int workspaceOf(long key) {
		return (int) (key >>> 32);
	}

}
