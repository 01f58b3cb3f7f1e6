package org.jaywood.gateway;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.ResponseForms;
import org.jaywood.feed.BootClock;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a caller that gets the broken answer of an engine in trouble: with a
 * body that is not the engine's, or with the lines that are broken.
 */
class BrokenAnswerTests extends GatewayFixture {

	private static final String FORMS = "org.jaywood.ResponseForms#";

	/** Time in which a call with such an answer must have ended or gone elsewhere. */
	private static final long MAX_MILLIS = 1_000;

	private static final String EVENT = "id: 1\ndata: a\n\n";

	private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

	private final AtomicInteger requests = new AtomicInteger();

	private static String head(FakeUpstream.Request request) {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Response-Seal: evil\r\n";
	}

	/**
	 * Returns an answer with lines at the end of its head.
	 */
	private static FakeUpstream.Script answerEnding(String lines, String body) {
		return (request, number, out, socket) -> {
			write(out, head(request) + lines + "\r\n\r\n" + body);
			socket.close();
		};
	}

	/**
	 * Returns an answer with lines at the start of its head.
	 */
	private static FakeUpstream.Script answerStarting(String lines, String body) {
		return (request, number, out, socket) -> {
			write(out,
					head(request).replaceFirst("\r\n", "\r\n" + lines.replace("\\", "\\\\") + "\r\n") + "\r\n" + body);
			socket.close();
		};
	}

	/**
	 * Returns a script whose first request, among all upstreams of a test, gets a broken
	 * answer.
	 */
	private FakeUpstream.Script once(FakeUpstream.Script broken, FakeUpstream.Script sound) {
		return (request, number, out, socket) -> ((this.requests.incrementAndGet() == 1) ? broken : sound)
			.respond(request, number, out, socket);
	}

	private String answerInTime(FakeUpstream.Script script, String request) throws IOException {
		Gateway gateway = start(new FakeUpstream(script), new FakeUpstream(script));
		long sinceMillis = BootClock.nowMillis();
		String answer = exchange(gateway, request);
		assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(MAX_MILLIS);
		return answer;
	}

	/**
	 * Checks that an idempotent call is answered by the other upstream.
	 */
	private void assertAnsweredElsewhere(FakeUpstream.Script broken) throws IOException {
		String answer = answerInTime(once(broken, answer(200, "")), SAFE);
		assertThat(answer).startsWith("HTTP/1.1 200");
		assertThat(answer).endsWith("\r\n\r\nx");
		assertThat(answer).doesNotContain("evil");
		assertThat(this.requests.get()).isEqualTo(2);
	}

	/**
	 * Checks that a call that may run once is neither sent again nor refused as not run.
	 */
	private void assertIndeterminate(FakeUpstream.Script broken) throws IOException {
		String answer = answerInTime(once(broken, answer(200, "")), UNSAFE);
		assertThat(answer).startsWith("HTTP/1.1 502");
		assertThat(answer).doesNotContain("evil");
		assertThat(this.requests.get()).isEqualTo(1);
	}

	@Nested
	class Fields {

		private static final String LENGTH = ResponseForms.LENGTH + "\r\n";

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void idempotentCallIsAnsweredByAnotherUpstream(String line) throws IOException {
			assertAnsweredElsewhere(answerEnding(LENGTH + line, ResponseForms.CONTENT));
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void callThatMayRunOnceIsNotSentAgain(String line) throws IOException {
			assertIndeterminate(answerStarting(line + "\r\n" + ResponseForms.LENGTH, ResponseForms.CONTENT));
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames" })
		void streamIsAnsweredByAnotherUpstream(String line) throws IOException {
			String answer = answerInTime(
					once(answerEnding(EVENT_STREAM + line, "id: 1\ndata: evil\n\n"),
							(request, number, out, socket) -> write(out,
									FakeUpstream.streamHead(request) + FakeUpstream.chunk(EVENT) + "0\r\n\r\n")),
					STREAM);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).contains(EVENT);
			assertThat(answer).endsWith("0\r\n\r\n");
			assertThat(answer).doesNotContain("evil");
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames" })
		void interimResponseWithSuchALineFailsTheAttempt(String line) throws IOException {
			assertAnsweredElsewhere((request, number, out, socket) -> write(out, "HTTP/1.1 103 Early Hints\r\n" + line
					+ "\r\n\r\n" + FakeUpstream.response(request, 200, "", "evil")));
		}

		/**
		 * A broken answer promises nothing, whatever it says of the call.
		 */
		@ParameterizedTest
		@MethodSource(FORMS + "brokenNames")
		void refusalWithSuchALineIsNoRefusal(String line) throws IOException {
			assertIndeterminate((request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 503, "X-Not-Executed: 1\r\n" + line + "\r\n", "evil")));
		}

		@ParameterizedTest
		@ValueSource(strings = { "X Name: 1", "garbage", "X-Name\u0000: 1" })
		void connectionIsNotUsedAgain(String line) throws Exception {
			FakeUpstream only = new FakeUpstream(once((request, number, out, socket) -> write(out,
					FakeUpstream.response(request, 200, line + "\r\n", "evil")), answer(200, "")));
			Gateway gateway = start(only);
			exchange(gateway, UNSAFE);
			assertThat(only.connectionEnded().await(MAX_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
			assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 200");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundFields")
		void soundFieldIsForwarded(String line) throws IOException {
			String answer = answerInTime(answerEnding(LENGTH + line, ResponseForms.CONTENT), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).endsWith("\r\n\r\n" + ResponseForms.CONTENT);
			String unfolded = line.replaceAll("\r\n[ \t]+", " ");
			assertThat(answer.replaceAll("[ \t]+", "")).contains(unfolded.replaceAll("[ \t]+", ""));
		}

	}

	@Nested
	class Lengths {

		@ParameterizedTest
		@MethodSource(FORMS + "brokenLengths")
		void idempotentCallIsAnsweredByAnotherUpstream(String length) throws IOException {
			assertAnsweredElsewhere(answerEnding(length, ResponseForms.CONTENT));
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenCodings")
		void idempotentCallWithABrokenCodingIsAnsweredByAnotherUpstream(String coding) throws IOException {
			assertAnsweredElsewhere(answerStarting(coding, ResponseForms.chunks("")));
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "brokenLengths", FORMS + "brokenCodings" })
		void callThatMayRunOnceIsNotSentAgain(String length) throws IOException {
			assertIndeterminate(answerStarting(length, ResponseForms.chunks("")));
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenCodings")
		void streamIsAnsweredByAnotherUpstream(String coding) throws IOException {
			String answer = answerInTime(
					once(answerEnding(EVENT_STREAM + coding, FakeUpstream.chunk("id: 1\ndata: evil\n\n") + "0\r\n\r\n"),
							(request, number, out, socket) -> write(out,
									FakeUpstream.streamHead(request) + FakeUpstream.chunk(EVENT) + "0\r\n\r\n")),
					STREAM);
			assertThat(answer).contains(EVENT);
			assertThat(answer).endsWith("0\r\n\r\n");
			assertThat(answer).doesNotContain("evil");
		}

		@ParameterizedTest
		@ValueSource(strings = { "204 No Content\r\nContent-Length: 4", "304 Not Modified\r\nContent-Length: x" })
		void answerWithoutABodyThatStatesOneIsNotForwarded(String head) throws IOException {
			assertIndeterminate(
					(request, number, out, socket) -> write(out, head(request).replace("200 OK", head) + "\r\n"));
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundLengths")
		void answerWithASoundLengthIsForwarded(String length) throws IOException {
			String answer = answerInTime(answerEnding(length, ResponseForms.CONTENT), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).endsWith("\r\n\r\n" + ResponseForms.CONTENT);
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundCodings")
		void answerWithASoundCodingIsForwarded(String coding) throws IOException {
			String answer = answerInTime(answerStarting(coding, ResponseForms.chunks("")), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).endsWith("\r\n\r\n" + ResponseForms.CONTENT);
		}

	}

	@Nested
	class Chunks {

		@ParameterizedTest
		@MethodSource(FORMS + "brokenChunks")
		void idempotentCallIsAnsweredByAnotherUpstream(String chunks) throws IOException {
			assertAnsweredElsewhere(answerEnding(ResponseForms.CHUNKED, chunks));
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenChunks")
		void callThatMayRunOnceIsNotSentAgain(String chunks) throws IOException {
			assertIndeterminate(answerEnding(ResponseForms.CHUNKED, chunks));
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void answerWithABrokenTrailerIsNotForwarded(String trailer) throws IOException {
			assertIndeterminate(answerEnding(ResponseForms.CHUNKED, ResponseForms.chunks(trailer)));
		}

		@ParameterizedTest
		@ValueSource(strings = { "\u0000\r\n\r\n", "X Name: 1\r\n\r\n", "" })
		void answerWhoseTrailersBreakBehindAPauseIsNotForwarded(String end) throws IOException {
			assertIndeterminate((request, number, out, socket) -> {
				write(out, head(request) + ResponseForms.CHUNKED + "\r\n\r\n4\r\nbody\r\n0\r\n");
				pause(600);
				write(out, end);
				socket.close();
			});
		}

		@ParameterizedTest
		@ValueSource(strings = { "+0\r\n\r\n", "0\r\nX Name: 1\r\n\r\n", "x\r\n", "\r\n\r\n" })
		void streamWithABrokenEndIsNotComplete(String end) throws IOException {
			String answer = answerInTime((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk(EVENT) + end);
				socket.close();
			}, STREAM);
			assertThat(answer).contains(EVENT);
			assertThat(answer).doesNotContain("\r\n0\r\n");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundChunks")
		void answerWithSoundChunksIsForwarded(String chunks) throws IOException {
			String answer = answerInTime(answerEnding(ResponseForms.CHUNKED, chunks), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).endsWith("\r\n\r\n" + ResponseForms.CONTENT);
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundFields")
		void answerWithASoundTrailerIsForwarded(String trailer) throws IOException {
			String answer = answerInTime(answerEnding(ResponseForms.CHUNKED, ResponseForms.chunks(trailer)), UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).endsWith("\r\n\r\n" + ResponseForms.CONTENT);
		}

	}

	/**
	 * A success that is sound HTTP and not the answer of the engine.
	 */
	@Nested
	class Signatures {

		private static final String SIGNATURE = "X-Response-Seal: evil\r\n";

		private FakeUpstream.Script answerWith(String lines) {
			return (request, number, out, socket) -> write(out,
					head(request).replace(SIGNATURE, lines) + "Content-Length: 4\r\n\r\nevil");
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "X-Response-Seal:\r\n", "X-Response-Sea: a\r\n",
				"X-Response-Seal: a\r\nX-Response-Seal: b\r\n", "X-Response-Seal: a\r\nContent-Encoding: gzip\r\n" })
		void idempotentCallIsAnsweredByAnotherUpstream(String lines) throws IOException {
			assertAnsweredElsewhere(answerWith(lines));
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "X-Response-Seal:\r\n", "X-Response-Seal: a\r\nContent-Encoding: gzip\r\n" })
		void callThatMayRunOnceIsNotSentAgain(String lines) throws IOException {
			assertIndeterminate(answerWith(lines));
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "X-Response-Seal: a\r\nContent-Encoding: gzip\r\n" })
		void streamIsAnsweredByAnotherUpstream(String lines) throws IOException {
			String answer = answerInTime(once(
					(request, number, out, socket) -> write(out,
							FakeUpstream.streamHead(request).replace("X-Response-Seal: seal\r\n", lines)
									+ FakeUpstream.chunk("id: 1\ndata: evil\n\n") + "0\r\n\r\n"),
					(request, number, out, socket) -> write(out,
							FakeUpstream.streamHead(request) + FakeUpstream.chunk(EVENT) + "0\r\n\r\n")),
					STREAM);
			assertThat(answer).contains(EVENT);
			assertThat(answer).endsWith("0\r\n\r\n");
			assertThat(answer).doesNotContain("evil");
		}

		@ParameterizedTest
		@ValueSource(ints = { 400, 404, 500 })
		void failureNeedsNoSignature(int status) throws IOException {
			String answer = answerInTime(
					(request, number, out, socket) -> write(out,
							FakeUpstream.response(request, status, "", "own").replace("X-Response-Seal: seal\r\n", "")),
					UNSAFE);
			assertThat(answer).startsWith("HTTP/1.1 " + status);
			assertThat(answer).endsWith("own");
		}

	}

	/**
	 * The caller asks for the head of an answer only.
	 */
	@Nested
	class HeadRequests {

		@ParameterizedTest
		@ValueSource(strings = { "", "evil" })
		void answerHasNoBody(String behind) throws IOException {
			String answer = answerInTime(answerEnding(ResponseForms.LENGTH, behind), SAFE.replace("GET", "HEAD"));
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).endsWith("\r\n\r\n");
		}

	}

}
