package org.jaywood.replica;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.truth.Truth;
import com.google.common.truth.Truth8;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a start of all agents at which each waits for the whole time of a
 * request at a parent that waits itself.
 */
class HedgedRequestsTests {

	private static final long NEVER_MILLIS = 60_000;

	private final Executor executor = (task) -> Thread.ofVirtual().start(task);

	private static Callable<String> failing() {
		return () -> {
			throw new IOException("404");
		};
	}

	@Nested
	class SlowSources {

		@Test
		void theNextSourceIsAskedBesideOneThatDoesNotRespond() throws InterruptedException {
			CountDownLatch released = new CountDownLatch(1);
			Callable<String> waiting = () -> {
				released.await();
				return "late";
			};
			HedgedRequests requests = new HedgedRequests(HedgedRequestsTests.this.executor, 1);

			Truth8.assertThat(requests.firstResponse(List.of(waiting, () -> "second"))).hasValue("second");
			released.countDown();
		}

		@Test
		void aSourceThatRespondsLateIsUsedIfTheOthersFail() throws InterruptedException {
			CountDownLatch othersFailed = new CountDownLatch(1);
			Callable<String> late = () -> {
				othersFailed.await();
				return "late";
			};
			Callable<String> failing = () -> {
				othersFailed.countDown();
				throw new IOException("404");
			};
			HedgedRequests requests = new HedgedRequests(HedgedRequestsTests.this.executor, 1);

			Truth8.assertThat(requests.firstResponse(List.of(late, failing))).hasValue("late");
		}

	}

	@Nested
	class FailingSources {

		@Test
		void theNextSourceIsAskedAtOnceAfterAFailure() throws InterruptedException {
			HedgedRequests requests = new HedgedRequests(HedgedRequestsTests.this.executor, NEVER_MILLIS);

			Truth8.assertThat(requests.firstResponse(List.of(failing(), failing(), () -> "third"))).hasValue("third");
		}

		@Test
		void thereIsNoResponseOnceAllHaveFailed() throws InterruptedException {
			HedgedRequests requests = new HedgedRequests(HedgedRequestsTests.this.executor, NEVER_MILLIS);

			Truth8.assertThat(requests.firstResponse(List.of(failing(), failing()))).isEmpty();
		}

		@Test
		void thereIsNoResponseWithoutSources() throws InterruptedException {
			HedgedRequests requests = new HedgedRequests(HedgedRequestsTests.this.executor, NEVER_MILLIS);

			Truth8.assertThat(requests.<String>firstResponse(List.of())).isEmpty();
		}

	}

	@Nested
	class SoundSources {

		@Test
		void aSecondSourceIsNotAskedIfTheFirstResponds() throws InterruptedException {
			AtomicInteger asked = new AtomicInteger();
			Callable<String> counted = () -> "response " + asked.incrementAndGet();
			HedgedRequests requests = new HedgedRequests(HedgedRequestsTests.this.executor, NEVER_MILLIS);

			requests.firstResponse(List.of(counted, counted));

			Truth.assertThat(asked.get()).isEqualTo(1);
		}

	}

}
