package org.jaywood.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.feed.BootClock;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a caller that gets a status which is none, and against an attempt that
 * waits for its deadline behind such a response: an engine in trouble sends one instead
 * of its answer.
 */
class InvalidStatusTests extends GatewayFixture {

	/** Time in which a call with such a response must have ended or gone elsewhere. */
	private static final long MAX_MILLIS = 1_000;

	private static final String STREAM_BODY = "id: 1\ndata: a\n\n";

	private final AtomicInteger requests = new AtomicInteger();

	private static String invalid(FakeUpstream.Request request, String status) {
		return "HTTP/1.1 " + status + " Status\r\nX-Attempt-Id: " + request.header("x-attempt-id")
				+ "\r\nX-Response-Seal: seal\r\nContent-Length: 4\r\n\r\nevil";
	}

	private static void answerStream(FakeUpstream.Request request, OutputStream out) throws IOException {
		write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk(STREAM_BODY) + "0\r\n\r\n");
	}

	/**
	 * Returns a script whose first request, among all upstreams of a test, gets an
	 * invalid status, while the connection stays open.
	 */
	private FakeUpstream.Script invalidOnce(String status, FakeUpstream.Script valid) {
		return (request, number, out, socket) -> {
			if (this.requests.incrementAndGet() == 1) {
				write(out, invalid(request, status));
			}
			else {
				valid.respond(request, number, out, socket);
			}
		};
	}

	private String answerInTime(FakeUpstream.Script script, String request) throws IOException {
		Gateway gateway = start(new FakeUpstream(script), new FakeUpstream(script));
		long sinceMillis = BootClock.nowMillis();
		String answer = exchange(gateway, request);
		assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(MAX_MILLIS);
		assertThat(answer).doesNotContain("evil");
		return answer;
	}

	@Nested
	class AfterTheRequest {

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
		void idempotentCallIsAnsweredByAnotherUpstream(String status) throws IOException {
			String answer = answerInTime(invalidOnce(status, answer(200, "")), SAFE);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(InvalidStatusTests.this.requests.get()).isEqualTo(2);
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
		void callThatMayRunOnceIsNotSentAgain(String status) throws IOException {
			String answer = answerInTime(invalidOnce(status, answer(200, "")), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 502");
			assertThat(InvalidStatusTests.this.requests.get()).isEqualTo(1);
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
		void streamIsAnsweredByAnotherUpstream(String status) throws IOException {
			String answer = answerInTime(
					invalidOnce(status, (request, number, out, socket) -> answerStream(request, out)), STREAM);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).contains(STREAM_BODY);
			assertThat(answer).endsWith("0\r\n\r\n");
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
		void streamIsResumedBehindSuchAResponse(String status) throws IOException {
			FakeUpstream.Script script = (request, number, out, socket) -> {
				switch (requestNumber()) {
					case 1 -> {
						write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk(STREAM_BODY));
						socket.close();
					}
					case 2 -> write(out, invalid(request, status));
					default -> write(out,
							FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
				}
			};
			assertThat(answerInTime(script, STREAM)).doesNotContain("Status");
		}

		private int requestNumber() {
			return InvalidStatusTests.this.requests.incrementAndGet();
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
		void connectionIsNotUsedAgain(String status) throws Exception {
			FakeUpstream only = new FakeUpstream(invalidOnce(status, answer(200, "")));
			Gateway gateway = start(only);
			exchange(gateway, UNSAFE);
			assertThat(only.connectionEnded().await(MAX_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
			assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 200");
		}

	}

	@Nested
	class BeforeTheRequest {

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
		void nextCallGoesOverAnotherConnection(String status) throws IOException {
			FakeUpstream only = new FakeUpstream((request, number, out, socket) -> {
				write(out, FakeUpstream.response(request, 200, "", "own"));
				if (number == 1) {
					write(out, invalid(request, status));
				}
			});
			Gateway gateway = start(only);
			assertThat(call(gateway, UNSAFE, 1)).endsWith("own");
			pause(50);
			assertThat(call(gateway, UNSAFE, 2)).endsWith("own");
			assertThat(only.requests()).hasSize(2);
		}

	}

	@Nested
	class InterimResponses {

		@Test
		void areSkippedAsBefore() throws IOException {
			String answer = answerInTime((request, number, out, socket) -> write(out,
					"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Other\r\n\r\n"
							+ FakeUpstream.response(request, 200, "", "own")),
					UNSAFE);
			assertThat(answer).endsWith("own");
		}

		@Test
		void invalidStatusBehindOneFailsTheAttempt() throws IOException {
			String answer = answerInTime((request, number, out, socket) -> write(out,
					"HTTP/1.1 103 Early Hints\r\n\r\n" + invalid(request, "099")), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 502");
		}

	}

}
