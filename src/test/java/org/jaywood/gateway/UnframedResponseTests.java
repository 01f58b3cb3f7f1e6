package org.jaywood.gateway;

import java.io.IOException;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against responses that end with their connection and are rejected although they
 * are whole, or taken as whole although they broke off.
 */
class UnframedResponseTests extends GatewayFixture {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: call-1\r\nX-Response-Seal: seal\r\n";

	private static final String STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n";

	private static final String EVENT = "id: 1\ndata: a\n\n";

	private String answerTo(String request, String response, boolean reset) throws IOException {
		FakeUpstream.Script script = (received, number, out, socket) -> {
			write(out, response);
			if (reset) {
				socket.setSoLinger(true, 0);
			}
			socket.close();
		};
		return exchange(start(new FakeUpstream(script), new FakeUpstream(script)), request);
	}

	/**
	 * Responses that are whole.
	 */
	@Nested
	class Whole {

		@Test
		void plainBodyThatEndsWithItsConnectionIsForwarded() throws IOException {
			String answer = answerTo(SAFE, HEAD + "\r\nwhole body", false);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).endsWith("whole body");
			assertThat(answer).contains("Content-Length: 10");
		}

		@Test
		void streamThatEndsWithItsConnectionIsComplete() throws IOException {
			String answer = answerTo(STREAM, STREAM_HEAD + "\r\n" + EVENT, false);
			assertThat(answer).contains(EVENT);
			assertThat(answer).endsWith("\r\n0\r\n\r\n");
		}

	}

	/**
	 * Responses that broke off.
	 */
	@Nested
	class BrokenOff {

		@Test
		void plainBodyThatIsResetIsNotForwarded() throws IOException {
			assertThat(answerTo(SAFE, HEAD + "\r\nhalf", true)).startsWith("HTTP/1.1 502");
		}

		@Test
		void streamThatIsResetIsNotComplete() throws IOException {
			assertThat(answerTo(STREAM, STREAM_HEAD + "\r\n" + EVENT, true)).doesNotContain("\r\n0\r\n");
		}

		@Test
		void chunkedStreamThatEndsWithinAnEventIsNotComplete() throws IOException {
			String answer = answerTo(STREAM, STREAM_HEAD + "Transfer-Encoding: chunked\r\n\r\n"
					+ FakeUpstream.chunk(EVENT + "id: 2\nda") + "0\r\n\r\n", false);
			assertThat(answer).contains(EVENT);
			assertThat(answer).doesNotContain("id: 2");
			assertThat(answer).doesNotContain("\r\n0\r\n");
		}

		@Test
		void streamWithALengthThatEndsWithinAnEventIsNotComplete() throws IOException {
			String body = EVENT + "id: 2\nda";
			String answer = answerTo(STREAM, STREAM_HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body,
					false);
			assertThat(answer).contains(EVENT);
			assertThat(answer).doesNotContain("\r\n0\r\n");
		}

		@Test
		void streamThatEndsWithItsConnectionBeforeAnyEventIsNotComplete() throws IOException {
			assertThat(answerTo(STREAM, STREAM_HEAD + "\r\n", false)).startsWith("HTTP/1.1 502");
		}

	}

}
