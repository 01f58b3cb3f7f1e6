package org.jaywood.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.platform.PlatformCalls;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an unexpected error that closes the connection of a call without a
 * response and never ends its placement on the upstream.
 */
class UnexpectedErrorTests extends GatewayFixture {

	/** More calls than the capacity of an upstream. */
	private static final int CALLS = 40;

	private static FakeUpstream upstream() throws IOException {
		return new FakeUpstream(
				(request, number, out, socket) -> write(out, FakeUpstream.response(request, 200, "", "done")));
	}

	@Test
	void aCallThatWasNotSentIsRefusedAsNotRun() throws IOException {
		FakeUpstream upstream = upstream();
		Gateway gateway = start(settings(), new FailingProtocol(1, CALLS, 1, 0), upstream);
		for (int call = 0; call < CALLS; call++) {
			String answer = exchange(gateway, UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 503");
			assertThat(answer).contains("Retry-After: ");
		}
		assertThat(upstream.requests()).isEmpty();
		assertThat(exchange(gateway, UNSAFE)).startsWith("HTTP/1.1 200");
	}

	@Test
	void aCallThatWasSentIsReportedAsIndeterminate() throws IOException {
		Gateway gateway = start(settings(), new FailingProtocol(1, 0, 1, CALLS), upstream());
		for (int call = 0; call < CALLS; call++) {
			assertThat(exchange(gateway, UNSAFE)).startsWith("HTTP/1.1 502");
		}
		assertThat(exchange(gateway, UNSAFE)).startsWith("HTTP/1.1 200");
	}

	/**
	 * An error of a hedged attempt.
	 */
	@Nested
	class HedgedAttempt {

		private String answerWhenFailing(int failingWrite, int failingRead) throws IOException {
			AtomicInteger calls = new AtomicInteger();
			FakeUpstream.Script script = (request, number, out, socket) -> {
				if (calls.getAndIncrement() == 0) {
					pause();
					write(out, FakeUpstream.response(request, 200, "", "done"));
				}
				else {
					write(out, FakeUpstream.response(request, 500, "", "failed"));
				}
			};
			return exchange(start(settings(), new FailingProtocol(failingWrite, 1, failingRead, 1),
					new FakeUpstream(script), new FakeUpstream(script)), SAFE);
		}

		private static void pause() throws IOException {
			try {
				Thread.sleep(2_000);
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}

		@Test
		void theFirstAttemptKeepsTheCallIfTheHedgeCannotBeSent() throws IOException {
			assertThat(answerWhenFailing(2, Integer.MAX_VALUE)).endsWith("done");
		}

		@Test
		void theFirstAttemptKeepsTheCallIfTheResponseToTheHedgeCannotBeRead() throws IOException {
			assertThat(answerWhenFailing(Integer.MAX_VALUE, 1)).endsWith("done");
		}

	}

	/**
	 * Protocol that throws for a number of calls, before or after they are sent.
	 */
	private static final class FailingProtocol implements CallProtocol {

		private final PlatformCalls calls = new PlatformCalls();

		private final AtomicInteger writes = new AtomicInteger();

		private final AtomicInteger reads = new AtomicInteger();

		private final int firstWrite;

		private final int failingWrites;

		private final int firstRead;

		private final int failingReads;

		FailingProtocol(int firstWrite, int failingWrites, int firstRead, int failingReads) {
			this.firstWrite = firstWrite;
			this.failingWrites = failingWrites;
			this.firstRead = firstRead;
			this.failingReads = failingReads;
		}

		private static boolean fails(int number, int first, int count) {
			return number >= first && number - first < count;
		}

		@Override
		public CallHead read(ClassicHttpRequest request) {
			return this.calls.read(request);
		}

		@Override
		public boolean forwards(String name, boolean keysRequired) {
			return this.calls.forwards(name, keysRequired);
		}

		@Override
		public boolean returns(String name) {
			return this.calls.returns(name);
		}

		@Override
		public void write(ClassicHttpRequest request, AttemptHeaders headers) {
			if (fails(this.writes.incrementAndGet(), this.firstWrite, this.failingWrites)) {
				throw new IllegalStateException("cannot write");
			}
			this.calls.write(request, headers);
		}

		@Override
		public ResponseHead read(ClassicHttpResponse response) {
			if (fails(this.reads.incrementAndGet(), this.firstRead, this.failingReads)) {
				throw new IllegalStateException("cannot read");
			}
			return this.calls.read(response);
		}

		@Override
		public void writeRetryAfter(ClassicHttpResponse response, long millis) {
			this.calls.writeRetryAfter(response, millis);
		}

	}

}
