package org.jaywood.router;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import com.github.f4b6a3.uuid.UuidCreator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import org.jaywood.router.RelayFixture.RecordingSink;
import org.jaywood.wire.BadInputException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a keyed call that runs twice when its caller repeats it through several
 * routers, and against results that contradict what ran.
 */
class ClaimRegistryTests {

	private static final long NOW = Instant.parse("2026-01-01T00:00:00Z").toEpochMilli();

	private static final String KEY = key(NOW);

	private static String key(long millis) {
		return UuidCreator.getTimeOrderedEpoch(Instant.ofEpochMilli(millis)).toString();
	}

	private static Call call(String requestId, byte... body) {
		return new Call(requestId, "service", "", 5, body, new Call.Target("POST", "/x"), false, "", 1_000_000);
	}

	@Property(tries = 20_000, seed = "1")
	void keyRunsAtMostOnceAndNoRunIsReportedAsNotRun(@ForAll long seed) {
		Random random = new Random(seed);
		History history = new History(random);
		for (int i = 0; i < 8; i++) {
			history.submit();
			if (random.nextInt(3) == 0) {
				history.deliverDelayed();
			}
		}
		history.deliverDelayed();
		assertThat(history.installation.requestsRun().size()).isAtMost(1);
		assertThat(history.answerBodies.size()).isAtMost(1);
		assertThat(history.installation.requestsRun()).containsAtLeastElementsIn(history.answerBodies);
		assertThat(history.installation.requestsRun()).containsNoneIn(history.requestsNotRun);
	}

	@Test
	void repeatedKeyGetsStoredAnswerThroughAnotherRouter() throws Exception {
		FaultyObjectStore store = new FaultyObjectStore(new Random(1), 0);
		CallExecutor answeringExecutor = answeringExecutor();
		ClaimRegistry first = new ClaimRegistry(store, answeringExecutor, () -> 0);
		ClaimRegistry second = new ClaimRegistry(store, answeringExecutor, () -> 0);
		assertThat(first.run(call("a"), KEY, new RecordingSink(), NOW)).isEqualTo(new CallResult.Answered());
		RecordingSink sink = new RecordingSink();
		assertThat(second.run(call("b"), KEY, sink, NOW)).isEqualTo(new CallResult.Answered());
		assertThat(sink.body()).isEqualTo("a");
		assertThat(second.run(call("c", (byte) 1), KEY, sink, NOW)).isEqualTo(new CallResult.KeyReused());
	}

	@Test
	void callIsNotRunWhileStoreIsDown() throws Exception {
		FaultyObjectStore store = new FaultyObjectStore(new Random(1), 0);
		store.down();
		RecordingSink sink = new RecordingSink();
		assertThat(new ClaimRegistry(store, answeringExecutor(), () -> 0).run(call("a"), KEY, sink, NOW))
			.isInstanceOf(CallResult.NotRun.class);
		assertThat(sink.body()).isNull();
	}

	@Test
	void keyOutsideRetentionIsRejected() {
		ClaimRegistry registry = new ClaimRegistry(new FaultyObjectStore(new Random(1), 0), answeringExecutor(),
				() -> 0);
		List<String> rejectedKeys = List.of("x", "7d444840-9dc0-11d1-b245-5ffdce74fad2", key(NOW - 86_400_001),
				key(NOW + 301_000));
		assertThat(rejectedKeys.stream().filter((key) -> accepts(registry, key)).toList()).isEmpty();
		assertThat(accepts(registry, key(NOW - 86_390_000))).isTrue();
	}

	private static boolean accepts(ClaimRegistry registry, String key) {
		try {
			registry.run(call("a"), key, new RecordingSink(), NOW);
			return true;
		}
		catch (BadInputException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static CallExecutor answeringExecutor() {
		// The largest number at each step gives an answer at the first attempt.
		return new FakeInstallation(new Random() {

			@Override
			public int nextInt(int bound) {
				return bound - 1;
			}

		}).router("router");
	}

	/**
	 * Requests with the same key through two routers, each of which may crash and
	 * restart.
	 */
	private static final class History {

		private final Random random;

		private final FaultyObjectStore store;

		private final FakeInstallation installation;

		private final ClaimRegistry[] routers = new ClaimRegistry[2];

		private final Set<String> answerBodies = new TreeSet<>();

		private final List<String> requestsNotRun = new ArrayList<>();

		private int incarnations;

		private int requests;

		private int nestedRequests;

		History(Random random) {
			this.random = random;
			this.store = new FaultyObjectStore(random, 10);
			this.installation = new FakeInstallation(random);
			this.installation.setInterleavedAction(this::submit);
			start(0);
			start(1);
		}

		private void start(int router) {
			this.routers[router] = new ClaimRegistry(this.store,
					this.installation.router("router-" + this.incarnations++), () -> 0);
		}

		void deliverDelayed() {
			this.store.applyDelayedWrites();
			this.installation.deliverDelayed();
		}

		void submit() {
			if (this.nestedRequests == 2) {
				return;
			}
			this.nestedRequests++;
			int router = this.random.nextInt(2);
			String id = "request-" + this.requests++;
			RecordingSink sink = new RecordingSink();
			try {
				CallResult result = this.routers[router].run(call(id), KEY, sink, NOW);
				if (result instanceof CallResult.NotRun) {
					this.requestsNotRun.add(id);
				}
				if (sink.body() != null) {
					this.answerBodies.add(sink.body());
				}
			}
			catch (FaultyObjectStore.RouterCrash ex) {
				start(router);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
			finally {
				this.nestedRequests--;
			}
		}

	}

}
