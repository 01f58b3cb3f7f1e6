package org.jaywood.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * A gateway on loopback ports in front of scripted upstreams.
 */
class GatewayTests extends GatewayFixture {

	/**
	 * Guards against a call that reaches an upstream altered, with the name of another
	 * workspace, or with the caller's key.
	 */
	@Nested
	class Forwarding {

		@Test
		void aCallIsForwardedWithTheHeadersOfTheGatewayAndWithoutTheKey() throws IOException {
			FakeUpstream upstream = new FakeUpstream(
					(request, number, out, socket) -> write(out, FakeUpstream.response(request, 200, "", "done")));
			String answer = exchange(start(upstream), UNSAFE);
			FakeUpstream.Request forwarded = upstream.requests().getFirst();
			assertThat(forwarded.line()).isEqualTo("POST /unsafe/x?q=1 HTTP/1.1");
			assertThat(forwarded.body()).isEqualTo("body");
			assertThat(forwarded.header("x-tenant")).isEqualTo("workspace-1");
			assertThat(forwarded.header("x-expect-instance")).isEqualTo("i-0");
			assertThat(forwarded.header("authorization")).isEmpty();
			assertThat(Long.parseLong(forwarded.header("x-deadline-ms"))).isAtMost(3_000);
			assertThat(answer).contains("X-Response-Seal: seal");
			assertThat(answer).endsWith("done");
		}

		@Test
		void aForgedWorkspaceIsReplaced() throws IOException {
			FakeUpstream upstream = new FakeUpstream(
					(request, number, out, socket) -> write(out, FakeUpstream.response(request, 200, "", "done")));
			exchange(start(upstream), SAFE);
			assertThat(upstream.requests().getFirst().header("x-tenant")).isEqualTo("workspace-1");
		}

		@Test
		void aRequestWithTwoLengthsIsABadRequest() throws IOException {
			FakeUpstream upstream = new FakeUpstream(
					(request, number, out, socket) -> write(out, FakeUpstream.response(request, 200, "", "done")));
			String smuggled = UNSAFE.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked");
			assertThat(exchange(start(upstream), smuggled)).startsWith("HTTP/1.1 400");
			assertThat(upstream.requests()).isEmpty();
		}

		@Test
		void anUnknownKeyAndAnUnknownPathAreClientErrors() throws IOException {
			Gateway gateway = start(new FakeUpstream((request, number, out, socket) -> socket.close()));
			assertThat(exchange(gateway, SAFE.replace("key-1", "key-2"))).startsWith("HTTP/1.1 401");
			assertThat(exchange(gateway, SAFE.replace("/safe/", "/none/"))).startsWith("HTTP/1.1 404");
		}

	}

	/**
	 * Guards against a call that runs twice, and against a response "not run" to a call
	 * that may have run.
	 */
	@Nested
	class AtMostOnce {

		@Test
		void anIndeterminateCallThatMayNotRunTwiceIsNotRetried() throws IOException {
			FakeUpstream first = new FakeUpstream((request, number, out, socket) -> socket.close());
			FakeUpstream second = new FakeUpstream((request, number, out, socket) -> socket.close());
			String answer = exchange(start(first, second), UNSAFE);
			assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
			assertThat(answer).startsWith("HTTP/1.1 502");
		}

		@Test
		void anIndeterminateIdempotentCallIsRetriedAtAnotherUpstream() throws IOException {
			FakeUpstream.Script script = (request, number, out, socket) -> {
				if (request.header("x-expect-instance").equals("i-0")) {
					socket.close();
				}
				else {
					write(out, FakeUpstream.response(request, 200, "", "done"));
				}
			};
			String answer = exchange(start(new FakeUpstream(script), new FakeUpstream(script)), SAFE);
			assertThat(answer).startsWith("HTTP/1.1 200");
		}

		/**
		 * Guards against calls that are sent to one upstream after another, beyond the
		 * retry budget, because each refuses them as misdirected.
		 */
		@Test
		void aRetryOfAMisdirectedCallIsChargedToTheRetryBudget() throws IOException {
			FakeUpstream.Script misdirected = (request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 421, "", ""));
			FakeUpstream first = new FakeUpstream(misdirected);
			FakeUpstream second = new FakeUpstream(misdirected);
			String answer = exchange(start(settings(0, 0), first, second), SAFE);
			assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
			assertThat(answer).startsWith("HTTP/1.1 503");
		}

		@Test
		void aCallThatNoUpstreamRanIsRefusedAsNotRun() throws IOException {
			FakeUpstream full = new FakeUpstream((request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 503, "X-Not-Executed: 1\r\n", "")));
			String answer = exchange(start(full), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 503");
			assertThat(answer).contains("Retry-After: ");
		}

		@Test
		void a503OfAnUpstreamThatMayHaveRunTheCallIsNotForwarded() throws IOException {
			FakeUpstream upstream = new FakeUpstream(
					(request, number, out, socket) -> write(out, FakeUpstream.response(request, 503, "", "")));
			assertThat(exchange(start(upstream), UNSAFE)).startsWith("HTTP/1.1 502");
		}

	}

	/**
	 * Guards against responses that reach the wrong call, are truncated, or are joined
	 * wrongly.
	 */
	@Nested
	class Responses {

		@Test
		void anExtraResponseToAnEarlierCallIsSkipped() throws IOException {
			FakeUpstream upstream = new FakeUpstream((request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 200, "", "stray").replace("call-1", "call-0")
							+ FakeUpstream.response(request, 200, "", "done")));
			assertThat(exchange(start(upstream), UNSAFE)).endsWith("done");
		}

		@Test
		void aTruncatedPlainResponseIsNotForwarded() throws IOException {
			FakeUpstream upstream = new FakeUpstream((request, number, out, socket) -> {
				write(out, FakeUpstream.response(request, 200, "", "whole answer").replace("answer", ""));
				socket.close();
			});
			assertThat(exchange(start(upstream), UNSAFE)).startsWith("HTTP/1.1 502");
		}

		@Test
		void aBrokenStreamIsResumedAfterTheLastCompleteEvent() throws IOException {
			FakeUpstream.Script script = (request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request));
				if (request.header("last-event-id").isEmpty()) {
					write(out, FakeUpstream.chunk("id: 1\ndata: a\n\nid: 2\nda"));
					socket.close();
				}
				else {
					write(out, FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
				}
			};
			String answer = exchange(start(new FakeUpstream(script), new FakeUpstream(script)), STREAM);
			assertThat(answer).contains("id: 1\ndata: a\n\n");
			assertThat(answer).contains("id: 2\ndata: b\n\n");
			assertThat(answer).endsWith("0\r\n\r\n");
		}

		@Test
		void aStreamThatCannotBeResumedHasNoLastChunk() throws IOException {
			FakeUpstream only = new FakeUpstream((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				socket.close();
			});
			String answer = exchange(start(only), STREAM);
			assertThat(answer).contains("id: 1");
			assertThat(answer).doesNotContain("\r\n0\r\n");
		}

		@Test
		void aResumedStreamThatRepeatsAnEventIsCut() throws IOException {
			FakeUpstream.Script script = (request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				if (request.header("last-event-id").isEmpty()) {
					socket.close();
				}
				else {
					write(out, "0\r\n\r\n");
				}
			};
			String answer = exchange(start(new FakeUpstream(script), new FakeUpstream(script)), STREAM);
			assertThat(answer.split("id: 1", -1)).hasLength(2);
			assertThat(answer).doesNotContain("\r\n0\r\n");
		}

	}

	/**
	 * Guards against a large plain response that is truncated and then joined with the
	 * response of another upstream.
	 */
	@Nested
	class LargeResponses {

		private static final int LINES = 200_000;

		@Test
		void aTruncatedLargeResponseIsNotContinued() throws IOException {
			FakeUpstream.Script script = (request, number, out, socket) -> {
				String whole = FakeUpstream.response(request, 200, "", "z\n\n".repeat(LINES));
				write(out, request.header("x-expect-instance").equals("i-0") ? whole
						: whole.substring(0, whole.length() / 2));
				socket.close();
			};
			FakeUpstream first = new FakeUpstream(script);
			FakeUpstream second = new FakeUpstream(script);
			Gateway gateway = start(first, second);
			for (int call = 1; call <= 2; call++) {
				String answer = exchange(gateway, SAFE);
				long received = answer.substring(answer.indexOf("\r\n\r\n")).chars().filter((c) -> c == 'z').count();
				assertThat(answer.endsWith("\r\n0\r\n\r\n")).isEqualTo(received == LINES);
				assertThat(first.requests().size() + second.requests().size()).isEqualTo(call);
			}
		}

	}

	/**
	 * Guards against an upstream that works for a caller who has left.
	 */
	@Nested
	class CallerLeaving {

		@Test
		void theCallIsCancelledAtTheUpstreamBeforeTheFirstByte() throws Exception {
			FakeUpstream silent = new FakeUpstream((request, number, out, socket) -> {
			});
			Gateway gateway = start(silent);
			try (Socket caller = new Socket("127.0.0.1", gateway.callerPort())) {
				write(caller.getOutputStream(), STREAM);
				Awaitility.await().until(() -> !silent.requests().isEmpty());
			}
			assertThat(silent.connectionEnded().await(500, TimeUnit.MILLISECONDS)).isTrue();
			assertThat(silent.reset()).isTrue();
		}

	}

	/**
	 * Guards against calls that are cut or refused during a graceful shutdown.
	 */
	@Nested
	class GracefulShutdown {

		@Test
		void aCallThatArrivesDuringTheShutdownIsAnswered() throws Exception {
			FakeUpstream slow = new FakeUpstream((request, number, out, socket) -> {
				Awaitility.await().pollDelay(300, TimeUnit.MILLISECONDS).until(() -> true);
				write(out, FakeUpstream.response(request, 200, "", "done"));
			});
			Gateway gateway = start(slow);
			Thread drain = Thread.ofVirtual().start(() -> {
				try {
					gateway.drain(0);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
			Awaitility.await().until(() -> !gateway.ready());
			String answer = exchange(gateway, SAFE);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).contains("Connection: close");
			drain.join();
		}

		@Test
		void aCallReadDuringTheShutdownIsAnsweredBeforeTheProcessExits() throws Exception {
			FakeUpstream silent = new FakeUpstream((request, number, out, socket) -> {
			});
			Gateway gateway = start(settings(0.2, 100, 4_000), silent);
			long sinceNanos = System.nanoTime();
			Thread drain = Thread.ofVirtual().start(() -> {
				try {
					gateway.drain(0);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
			Awaitility.await().until(() -> !gateway.ready());
			Awaitility.await().pollDelay(1_000, TimeUnit.MILLISECONDS).until(() -> true);
			assertThat(exchange(gateway, UNSAFE)).startsWith("HTTP/1.1 504");
			assertThat(Duration.ofNanos(System.nanoTime() - sinceNanos)).isLessThan(Duration.ofMillis(3_500));
			drain.join();
		}

		@Test
		void aCallThatComesTooLateToBeAnsweredIsRefusedAndNotSentOn() throws Exception {
			FakeUpstream silent = new FakeUpstream((request, number, out, socket) -> {
			});
			Gateway gateway = start(settings(0.2, 100, 4_000), silent);
			try (Socket caller = new Socket("127.0.0.1", gateway.callerPort())) {
				caller.setSoTimeout(6_000);
				write(caller.getOutputStream(), UNSAFE.substring(0, UNSAFE.length() - 4));
				Thread drain = Thread.ofVirtual().start(() -> {
					try {
						gateway.drain(0);
					}
					catch (InterruptedException ex) {
						Thread.currentThread().interrupt();
					}
				});
				Awaitility.await().pollDelay(2_800, TimeUnit.MILLISECONDS).until(() -> true);
				write(caller.getOutputStream(), "body");
				String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
				assertThat(answer).startsWith("HTTP/1.1 503");
				assertThat(answer).contains("Retry-After");
				drain.join();
			}
			assertThat(silent.requests()).isEmpty();
		}

	}

	/**
	 * Guards against an idle connection that stays open during a graceful shutdown, so
	 * that a call sent on it late is cut.
	 */
	@Nested
	class GracefulShutdownWithIdleCallers {

		@Test
		void idleConnectionsAreClosedDuringTheShutdown() throws Exception {
			FakeUpstream upstream = new FakeUpstream(
					(request, number, out, socket) -> write(out, FakeUpstream.response(request, 200, "", "done")));
			Gateway gateway = start(upstream);
			try (Socket idle = new Socket("127.0.0.1", gateway.callerPort())) {
				idle.setSoTimeout(6_000);
				Thread.ofVirtual().start(() -> {
					try {
						gateway.drain(0);
					}
					catch (InterruptedException ex) {
						Thread.currentThread().interrupt();
					}
				});
				assertThat(idle.getInputStream().read()).isEqualTo(-1);
			}
		}

	}

}
