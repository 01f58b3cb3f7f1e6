package org.jaywood.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.feed.BootClock;

import static com.google.common.truth.Truth.assertThat;

/**
 * A gateway in front of upstreams that send too much, too slowly or unrequested
 * responses.
 */
class MisbehavingUpstreamTests extends GatewayFixture {

	/** Time-out of the calls of these tests. */
	private static final long CALL_TIMEOUT_MILLIS = 1_500;

	/** Time after the time-out within which the call must have ended. */
	private static final long MAX_OVERRUN_MILLIS = 1_000;

	private static final long REPEAT_INTERVAL_MILLIS = 50;

	/** Silence that is longer than the delay of a hedged attempt. */
	private static final long SILENCE_MILLIS = 2_000;

	private static String withDeadline(String request) {
		return request.replaceFirst("X-Deadline-Ms: \\d+", "X-Deadline-Ms: " + CALL_TIMEOUT_MILLIS);
	}

	/**
	 * Sends a text repeatedly, with pauses, until the gateway closes the connection.
	 */
	private static void repeatForever(OutputStream out, String text) throws IOException {
		while (true) {
			write(out, text);
			try {
				Thread.sleep(REPEAT_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}
	}

	private String answerInTime(FakeUpstream.Script script, String request) throws IOException {
		Gateway gateway = start(new FakeUpstream(script));
		long sinceMillis = BootClock.nowMillis();
		String answer = exchange(gateway, withDeadline(request));
		assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(CALL_TIMEOUT_MILLIS + MAX_OVERRUN_MILLIS);
		return answer;
	}

	/**
	 * Guards against endless or slowly arriving bytes that keep a call running past its
	 * deadline.
	 */
	@Nested
	class EndlessResponses {

		@Test
		void aHeadThatNeverEndsTimesOut() throws IOException {
			String answer = answerInTime((request, number, out, socket) -> {
				write(out, "HTTP/1.1 200 OK\r\nX-Long: ");
				repeatForever(out, "a");
			}, UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 504");
		}

		@Test
		void interimResponsesWithoutAFinalOneTimeOut() throws IOException {
			String answer = answerInTime(
					(request, number, out, socket) -> repeatForever(out, "HTTP/1.1 102 Processing\r\n\r\n"), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 504");
		}

		@Test
		void aPlainBodyThatNeverEndsTimesOut() throws IOException {
			String answer = answerInTime((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request));
				repeatForever(out, FakeUpstream.chunk("a"));
			}, UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 504");
		}

		@Test
		void aStreamWithAnEventThatNeverEndsIsCut() throws IOException {
			String answer = answerInTime((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				repeatForever(out, FakeUpstream.chunk("a"));
			}, STREAM);
			assertThat(answer).doesNotContain("\r\n0\r\n");
		}

		@Test
		void aStreamWithAnEventThatIsTooLargeIsCut() throws Exception {
			FakeUpstream flood = new FakeUpstream((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request));
				String chunk = FakeUpstream.chunk("a".repeat(64 * 1024));
				while (true) {
					write(out, chunk);
				}
			});
			Gateway gateway = start(flood);
			long sinceMillis = BootClock.nowMillis();
			String answer = exchange(gateway, STREAM);
			assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(CALL_TIMEOUT_MILLIS + MAX_OVERRUN_MILLIS);
			assertThat(answer).doesNotContain("\r\n0\r\n");
			assertThat(flood.connectionEnded().await(MAX_OVERRUN_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		}

	}

	/**
	 * Guards against cutting streams that are slow but valid.
	 */
	@Nested
	class SlowResponses {

		@Test
		void aStreamWhoseEventsArriveInPartsIsForwarded() throws IOException {
			FakeUpstream slow = new FakeUpstream((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request));
				for (int event = 1; event <= 5; event++) {
					write(out, FakeUpstream.chunk("id: " + event + "\n"));
					pause(400);
					write(out, FakeUpstream.chunk("data: a\n\n"));
				}
				write(out, "0\r\n\r\n");
			});
			String answer = exchange(start(slow), STREAM);
			assertThat(answer).contains("id: 5\ndata: a\n\n");
			assertThat(answer).endsWith("0\r\n\r\n");
			assertThat(slow.requests()).hasSize(1);
		}

		@Test
		void aSilentUpstreamKeepsItsCallIfThereIsNoOther() throws IOException {
			FakeUpstream silent = new FakeUpstream((request, number, out, socket) -> {
				pause(SILENCE_MILLIS);
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
			});
			String answer = exchange(start(silent), STREAM);
			assertThat(answer).contains("id: 1\ndata: a\n\n");
			assertThat(answer).endsWith("0\r\n\r\n");
			assertThat(silent.requests()).hasSize(1);
		}

		@Test
		void aStreamThatPausesContinuesIfThereIsNoOtherUpstream() throws IOException {
			FakeUpstream silent = new FakeUpstream((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				pause(SILENCE_MILLIS);
				write(out, FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
			});
			String answer = exchange(start(silent), STREAM);
			assertThat(answer).contains("id: 2\ndata: b\n\n");
			assertThat(answer).endsWith("0\r\n\r\n");
			assertThat(silent.requests()).hasSize(1);
		}

		@Test
		void aSilentUpstreamLosesItsCallToOneWithFreeCapacity() throws IOException {
			FakeUpstream silent = new FakeUpstream((request, number, out, socket) -> pause(4 * SILENCE_MILLIS));
			FakeUpstream healthy = new FakeUpstream((request, number, out, socket) -> write(out,
					FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"));
			Gateway gateway = start(silent, healthy);
			for (int call = 0; call < 4; call++) {
				assertThat(exchange(gateway, STREAM)).endsWith("0\r\n\r\n");
			}
		}

	}

	/**
	 * Guards against a truncated response that reaches the caller as a complete one.
	 */
	@Nested
	class TruncatedStreams {

		@Test
		void aStreamWithoutLengthThatEndsWithinAnEventHasNoLastChunk() throws IOException {
			FakeUpstream only = new FakeUpstream((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request).replace("Transfer-Encoding: chunked\r\n", "")
						+ "id: 1\ndata: a\n\nid: 2\nda");
				socket.close();
			});
			String answer = exchange(start(only), STREAM);
			assertThat(answer).contains("id: 1\ndata: a\n\n");
			assertThat(answer).doesNotContain("id: 2");
			assertThat(answer).doesNotContain("\r\n0\r\n");
		}

	}

	/**
	 * Guards against a duplicate response that arrives late, on a connection that already
	 * carries the next call, and reaches the caller of that call.
	 */
	@Nested
	class DuplicateResponses {

		@Test
		void aDuplicateWithoutAnIdOnAReusedConnectionIsNotForwarded() throws IOException {
			String anonymous = "HTTP/1.1 200 OK\r\nX-Response-Seal: old\r\nContent-Length: 3\r\n\r\nold";
			FakeUpstream upstream = new FakeUpstream((request, number, out, socket) -> {
				write(out, (number == 1) ? "" : anonymous);
				write(out, FakeUpstream.response(request, 200, "", "own"));
			});
			Gateway gateway = start(upstream);
			try (Socket caller = new Socket("127.0.0.1", gateway.callerPort())) {
				caller.setSoTimeout(5_000);
				write(caller.getOutputStream(), UNSAFE);
				assertThat(readAnswer(caller)).endsWith("own");
				write(caller.getOutputStream(), UNSAFE.replace("call-1", "call-2"));
				assertThat(readAnswer(caller)).doesNotContain("old");
			}
		}

		private static String readAnswer(Socket caller) throws IOException {
			StringBuilder text = new StringBuilder();
			byte[] bytes = new byte[4_096];
			while (!text.toString().endsWith("own") && !text.toString().endsWith("}")
					&& !text.toString().endsWith("old")) {
				int length = caller.getInputStream().read(bytes);
				if (length < 0) {
					return text.toString();
				}
				text.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
			}
			return text.toString();
		}

	}

}
