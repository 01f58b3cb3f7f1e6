package org.jaywood.gateway;

import java.io.IOException;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a broken stream that is ended as complete, or contains the text of an
 * error, because the upstream that should resume it does not.
 */
class ResumedStreamTests extends GatewayFixture {

	private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";

	private static final String ERROR_TEXT = "internal error";

	/**
	 * Returns the response to a stream that breaks off after its first event and is
	 * resumed by an upstream with a script.
	 */
	private String answerResumedBy(FakeUpstream.Script resumed) throws IOException {
		FakeUpstream.Script script = (request, number, out, socket) -> {
			if (request.header("last-event-id").isEmpty()) {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk(FIRST_EVENT));
				socket.close();
			}
			else {
				resumed.respond(request, number, out, socket);
			}
		};
		return exchange(start(new FakeUpstream(script), new FakeUpstream(script)), STREAM);
	}

	private void assertCutAfterTheFirstEvent(FakeUpstream.Script resumed) throws IOException {
		String answer = answerResumedBy(resumed);
		assertThat(answer).contains(FIRST_EVENT);
		assertThat(answer).doesNotContain(ERROR_TEXT);
		assertThat(answer).doesNotContain("HTTP/1.1 5");
		assertThat(answer.split("id: ", -1)).hasLength(2);
		assertThat(answer).doesNotContain("\r\n0\r\n");
	}

	/**
	 * The second upstream responds with an error, with or without an error status.
	 */
	@Nested
	class ErrorResponses {

		@Test
		void anErrorStatusIsNotForwarded() throws IOException {
			assertCutAfterTheFirstEvent(
					(request, number, out, socket) -> write(out, FakeUpstream.response(request, 500, "", ERROR_TEXT)));
		}

		@Test
		void aTextWithStatus200IsNotForwarded() throws IOException {
			assertCutAfterTheFirstEvent((request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 200, "Content-Type: text/plain\r\n", ERROR_TEXT)));
		}

		@Test
		void eventsOfAnotherMediaTypeAreNotForwarded() throws IOException {
			assertCutAfterTheFirstEvent((request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 200, "Content-Type: text/plain\r\n", "id: 2\ndata: x\n\n")));
		}

		@Test
		void aTextWithinTheStreamIsNotForwarded() throws IOException {
			assertCutAfterTheFirstEvent((request, number, out, socket) -> write(out,
					FakeUpstream.streamHead(request) + FakeUpstream.chunk(ERROR_TEXT) + "0\r\n\r\n"));
		}

		@Test
		void aTextThatEndsLikeAnEventIsNotForwarded() throws IOException {
			assertCutAfterTheFirstEvent((request, number, out, socket) -> write(out,
					FakeUpstream.streamHead(request) + FakeUpstream.chunk(ERROR_TEXT + "\n\n") + "0\r\n\r\n"));
		}

		@Test
		void aResponseHeadWithinTheStreamIsNotForwarded() throws IOException {
			assertCutAfterTheFirstEvent((request, number, out, socket) -> write(out,
					FakeUpstream.streamHead(request)
							+ FakeUpstream.chunk("HTTP/1.1 500 Error\r\nContent-Length: 14\r\n\r\n" + ERROR_TEXT)
							+ "0\r\n\r\n"));
		}

	}

	/**
	 * The second upstream ends its response too early.
	 */
	@Nested
	class TruncatedResponses {

		@Test
		void anEmptyBodyIsNotTheEndOfTheStream() throws IOException {
			assertCutAfterTheFirstEvent((request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 200, "Content-Type: text/event-stream\r\n", "")));
		}

		@Test
		void aPartialEventIsNotTheEndOfTheStream() throws IOException {
			assertCutAfterTheFirstEvent((request, number, out, socket) -> write(out,
					FakeUpstream.streamHead(request) + FakeUpstream.chunk("data: b\n") + "0\r\n\r\n"));
		}

		@Test
		void anEventThatSkipsAnIdIsNotForwarded() throws IOException {
			assertCutAfterTheFirstEvent((request, number, out, socket) -> write(out,
					FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n"));
		}

	}

	/**
	 * The head of an error response within the body of the first upstream, which is
	 * delimited by the end of its connection.
	 */
	@Nested
	class ForeignBytesInTheFirstAttempt {

		@Test
		void foreignBytesAreNotForwarded() throws IOException {
			FakeUpstream.Script script = (request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request).replace("Transfer-Encoding: chunked\r\n", ""));
				if (request.header("last-event-id").isEmpty()) {
					write(out, FIRST_EVENT + "HTTP/1.1 500 Error\r\n\r\n" + ERROR_TEXT + "\r\n\r\n");
				}
				else {
					write(out, "id: 2\ndata: b\n\n");
				}
				socket.close();
			};
			String answer = exchange(start(new FakeUpstream(script), new FakeUpstream(script)), STREAM);
			assertThat(answer).contains("id: 2\ndata: b\n\n");
			assertThat(answer).doesNotContain("HTTP/1.1 500");
			assertThat(answer).doesNotContain(ERROR_TEXT);
		}

	}

}
