package org.jaywood.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a message whose head breaks off and which is taken as whole: a response
 * with an empty body, or a request that lacks its last headers.
 */
class TruncatedHeadTests extends GatewayFixture {

	private static final String HEAD_START = "HTTP/1.1 200 OK\r\nX-Attempt-Id: call-1\r\nX-Response-Seal: seal\r\n";

	private String answerTo(String request, String response) throws IOException {
		FakeUpstream.Script script = (received, number, out, socket) -> {
			write(out, response);
			socket.close();
		};
		return exchange(start(new FakeUpstream(script), new FakeUpstream(script)), request);
	}

	/**
	 * The upstream stops within the head.
	 */
	@Nested
	class Responses {

		@ParameterizedTest
		@ValueSource(strings = { "", "Content-Length: 0\r\n", "Content-Le", "Content-Length: 4\r\nX-More: 1",
				"Transfer-Encoding: chunked\r\n" })
		void plainResponseWithATruncatedHeadIsNotForwarded(String lastHeaders) throws IOException {
			assertThat(answerTo(SAFE, HEAD_START + lastHeaders)).startsWith("HTTP/1.1 502");
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "Content-Type: text/event-stream\r\n", "Content-Type: text/event-str" })
		void streamWithATruncatedHeadIsNotForwarded(String lastHeaders) throws IOException {
			assertThat(answerTo(STREAM, HEAD_START + lastHeaders)).startsWith("HTTP/1.1 502");
		}

		@Test
		void callThatMayRunOnceIsNotAnsweredByATruncatedHead() throws IOException {
			assertThat(answerTo(UNSAFE, HEAD_START)).startsWith("HTTP/1.1 502");
		}

		@ParameterizedTest
		@ValueSource(strings = { "0", "0\r", "0\r\n", "0\r\nTrailer: 1\r\n" })
		void chunkedBodyWithATruncatedEndIsNotComplete(String end) throws IOException {
			String answer = answerTo(STREAM, HEAD_START + "Content-Type: text/event-stream\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\n" + FakeUpstream.chunk("id: 1\ndata: a\n\n") + end);
			assertThat(answer).contains("id: 1");
			assertThat(answer).doesNotContain("\r\n0\r\n");
		}

	}

	/**
	 * The caller stops within the request.
	 */
	@Nested
	class Requests {

		@ParameterizedTest
		@ValueSource(
				strings = { "", "Content-Length: 1", "Content-Le", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0",
						"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" })
		void requestThatBreaksOffIsNotSentOn(String end) throws IOException {
			FakeUpstream upstream = new FakeUpstream((request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 200, "Connection: close\r\n", "done")));
			Gateway gateway = start(upstream);
			try (Socket caller = new Socket("127.0.0.1", gateway.callerPort())) {
				caller.setSoTimeout(5_000);
				write(caller.getOutputStream(), "POST /unsafe/x HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: call-1\r\n"
						+ "X-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n" + end);
				caller.shutdownOutput();
				String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
				assertThat(answer).doesNotContain("HTTP/1.1 200");
			}
			assertThat(upstream.requests()).isEmpty();
		}

	}

}
