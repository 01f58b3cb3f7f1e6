package org.jaywood.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against bytes that decide between two attempts although they are no progress for
 * the caller: a head, a comment or a response to another call.
 */
class HedgeProgressTests extends GatewayFixture {

	private static final FakeUpstream.Script FAILING = (request, number, out, socket) -> write(out,
			FakeUpstream.response(request, 500, "", "failed"));

	private static final FakeUpstream.Script SILENT_STREAM = (request, number, out, socket) -> {
		write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
		pause(2_300);
		write(out, FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
	};

	private static final int LARGE_BYTES = 16_000_000;

	private Gateway start(FakeUpstream.Script first, FakeUpstream.Script second) throws IOException {
		AtomicInteger calls = new AtomicInteger();
		FakeUpstream.Script script = (request, number, out, socket) -> {
			FakeUpstream.Script next = (calls.getAndIncrement() == 0) ? first : second;
			next.respond(request, number, out, socket);
		};
		return start(new FakeUpstream(script), new FakeUpstream(script));
	}

	private static void assertWhole(String answer) {
		assertThat(answer).contains("id: 1\ndata: a\n\n");
		assertThat(answer).contains("id: 2\ndata: b\n\n");
		assertThat(answer).endsWith("0\r\n\r\n");
	}

	/**
	 * A stream whose upstream is silent, and its hedged attempt.
	 */
	@Nested
	class Streams {

		@Test
		void isNotTakenOverByAHeadWithoutAnEvent() throws IOException {
			Gateway gateway = start((request, number, out, socket) -> {
				pause(2_300);
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n")
						+ FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
			}, (request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request));
				socket.close();
			});
			assertWhole(exchange(gateway, STREAM));
		}

		@Test
		void isNotTakenOverByAComment() throws IOException {
			Gateway gateway = start(SILENT_STREAM, (request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk(": ping\n\n"));
				socket.close();
			});
			assertWhole(exchange(gateway, STREAM));
		}

		@Test
		void isNotTakenOverByAnEmptyLine() throws IOException {
			Gateway gateway = start(SILENT_STREAM, (request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("\n\n"));
				pause(5_000);
			});
			assertWhole(exchange(gateway, STREAM));
		}

		@Test
		void isTakenOverWhileItsUpstreamSendsOnlyComments() throws IOException {
			Gateway gateway = start((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				for (int i = 0; i < 20; i++) {
					pause(500);
					write(out, FakeUpstream.chunk(": ping\n\n"));
				}
			}, (request, number, out, socket) -> write(out,
					FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"));
			assertWhole(exchange(gateway, STREAM));
		}

		@Test
		void isForwardedInTimeWhileTheHeadOfTheHedgeArrivesSlowly() throws IOException {
			Gateway gateway = start((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				pause(1_700);
				write(out, FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
			}, (request, number, out, socket) -> {
				write(out, "HTTP/1.1 2");
				pause(5_000);
			});
			long startNanos = System.nanoTime();
			assertWhole(exchange(gateway, STREAM));
			assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(2_000);
		}

	}

	/**
	 * A plain call whose upstream is silent, and its hedged attempt.
	 */
	@Nested
	class PlainCalls {

		@Test
		void isNotTakenOverByATruncatedResponse() throws IOException {
			Gateway gateway = start((request, number, out, socket) -> {
				pause(2_300);
				write(out, FakeUpstream.response(request, 200, "", "done"));
			}, (request, number, out, socket) -> {
				write(out, FakeUpstream.response(request, 200, "", "0123456789").replace("0123456789", "012"));
				socket.close();
			});
			assertThat(exchange(gateway, SAFE)).endsWith("done");
		}

		@Test
		void isKeptAfterAStrayResponse() throws IOException {
			Gateway gateway = start((request, number, out, socket) -> {
				write(out, FakeUpstream.response(request, 200, "", "stray").replace("call-1", "call-0"));
				pause(1_800);
				write(out, FakeUpstream.response(request, 200, "", "done"));
			}, FAILING);
			assertThat(exchange(gateway, SAFE)).endsWith("done");
		}

		@Test
		void isKeptAfterAnInterimResponse() throws IOException {
			Gateway gateway = start((request, number, out, socket) -> {
				write(out, "HTTP/1.1 102 Processing\r\n\r\n");
				pause(1_800);
				write(out, FakeUpstream.response(request, 200, "", "done"));
			}, FAILING);
			assertThat(exchange(gateway, SAFE)).endsWith("done");
		}

		@Test
		void isKeptWithinAPartialHead() throws IOException {
			Gateway gateway = start((request, number, out, socket) -> {
				write(out, "HTTP/1.1 200 OK\r\n");
				pause(1_800);
				write(out, FakeUpstream.response(request, 200, "", "done").replaceFirst("HTTP/1.1 200 Status\r\n", ""));
			}, FAILING);
			assertThat(exchange(gateway, SAFE)).endsWith("done");
		}

		@Test
		void isTakenOverWhileItsBodyIsSilent() throws IOException {
			Gateway gateway = start((request, number, out, socket) -> {
				write(out, FakeUpstream.response(request, 200, "", "0123456789").replace("0123456789", "012"));
				pause(5_000);
			}, (request, number, out, socket) -> write(out, FakeUpstream.response(request, 200, "", "done")));
			assertThat(exchange(gateway, SAFE)).endsWith("done");
		}

	}

	/**
	 * An upstream that accepts a connection and reads nothing, or is unreachable.
	 */
	@Nested
	class UnresponsiveUpstreams {

		@Test
		void aCallWithALargeBodyIsAnsweredInTime() throws IOException {
			Gateway gateway = start(FakeUpstream.neverReading());
			String head = "POST /safe/x HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: call-1\r\nX-Deadline-Ms: 2000\r\n"
					+ "Authorization: Bearer key-1\r\nConnection: close\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n";
			try (Socket socket = new Socket("127.0.0.1", gateway.callerPort())) {
				socket.setSoTimeout(20_000);
				socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().write(new byte[LARGE_BYTES]);
				String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
				assertThat(answer).startsWith("HTTP/1.1 504");
			}
		}

		@Test
		void anUnreachableUpstreamDoesNotUseUpTheRetry() throws IOException {
			List<FakeUpstream> upstreams = new ArrayList<>();
			AtomicInteger calls = new AtomicInteger();
			FakeUpstream.Script script = (request, number, out, socket) -> {
				if (calls.getAndIncrement() == 0) {
					upstreams.get(0).close();
					pause(5_000);
				}
				write(out, FakeUpstream.response(request, 200, "", "done"));
			};
			for (int number = 0; number < 3; number++) {
				upstreams.add(new FakeUpstream(script));
			}
			Gateway gateway = start(settings(0, 100), upstreams.toArray(new FakeUpstream[0]));
			assertThat(exchange(gateway, SAFE)).endsWith("done");
		}

	}

}
