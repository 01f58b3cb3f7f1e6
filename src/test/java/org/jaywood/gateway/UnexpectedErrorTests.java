package org.jaywood.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.junit.jupiter.api.Test;

import org.jaywood.platform.PlatformCalls;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an unexpected error that closes the connection of a call without an
 * answer, and keeps its place at the upstream for good.
 */
class UnexpectedErrorTests extends GatewayFixture {

	/** More calls than an upstream may hold. */
	private static final int CALLS = 40;

	private static FakeUpstream upstream() throws IOException {
		return new FakeUpstream(
				(request, number, out, socket) -> write(out, FakeUpstream.answer(request, 200, "", "done")));
	}

	@Test
	void aCallThatWasNotSentIsRefusedAsNotRun() throws IOException {
		FakeUpstream upstream = upstream();
		Gateway gateway = start(settings(), new FailingProtocol(CALLS, 0), upstream);
		for (int call = 0; call < CALLS; call++) {
			String answer = exchange(gateway, UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 503");
			assertThat(answer).contains("Retry-After: ");
		}
		assertThat(upstream.requests()).isEmpty();
		assertThat(exchange(gateway, UNSAFE)).startsWith("HTTP/1.1 200");
	}

	@Test
	void theResultOfACallThatWasSentIsUnknown() throws IOException {
		Gateway gateway = start(settings(), new FailingProtocol(0, CALLS), upstream());
		for (int call = 0; call < CALLS; call++) {
			assertThat(exchange(gateway, UNSAFE)).startsWith("HTTP/1.1 502");
		}
		assertThat(exchange(gateway, UNSAFE)).startsWith("HTTP/1.1 200");
	}

	/**
	 * Protocol that fails for a number of calls, before they are sent or after.
	 */
	private static final class FailingProtocol implements CallProtocol {

		private final PlatformCalls calls = new PlatformCalls();

		private final AtomicInteger failingWrites;

		private final AtomicInteger failingReads;

		FailingProtocol(int failingWrites, int failingReads) {
			this.failingWrites = new AtomicInteger(failingWrites);
			this.failingReads = new AtomicInteger(failingReads);
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
		public void write(ClassicHttpRequest request, HandOverHead head) {
			if (this.failingWrites.getAndDecrement() > 0) {
				throw new IllegalStateException("cannot write");
			}
			this.calls.write(request, head);
		}

		@Override
		public AnswerHead read(ClassicHttpResponse response) {
			if (this.failingReads.getAndDecrement() > 0) {
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
