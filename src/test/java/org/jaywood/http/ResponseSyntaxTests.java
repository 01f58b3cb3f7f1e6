package org.jaywood.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;
import org.jaywood.ResponseForms;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a response whose head, chunks or trailers are broken and which is read
 * as whole, and against a sound one that is rejected.
 */
class ResponseSyntaxTests {

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final String FORMS = "org.jaywood.ResponseForms#";

	private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

	private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\n";

	private static final String FIELD = "X-Other: a\r\n";

	private static final String WHOLE = STATUS_LINE + "Content-Length: 4\r\n\r\nbody";

	private ServerSocket server;

	private ClientConnection connection;

	private Socket accepted;

	@BeforeEach
	void connect() throws IOException {
		this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		this.connection = ClientConnection.open(new Address("127.0.0.1", this.server.getLocalPort()), TIMEOUT_MILLIS);
		this.accepted = this.server.accept();
		this.connection.send(new BasicClassicHttpRequest("GET", "/"), new byte[0]);
	}

	@AfterEach
	void close() throws IOException {
		this.connection.close();
		this.accepted.close();
		this.server.close();
	}

	private void respond(String text) throws IOException {
		this.accepted.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Sends a text that is to be the whole response, with the connection ended or open
	 * behind it.
	 */
	private void respondWhole(String text, boolean end) throws IOException {
		respond(text);
		if (end) {
			this.accepted.shutdownOutput();
		}
	}

	private StreamedResponse receive() throws IOException {
		return this.connection.receive(TIMEOUT_MILLIS);
	}

	private String receiveBody() throws IOException {
		return new String(receive().body().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	/**
	 * Sends a response whose head is broken.
	 */
	private void assertHeadFails(String response) throws IOException {
		respondWhole(response, true);
		ConnectionException failure = Failures.thrownBy(ConnectionException.class, this::receive);
		assertThat(failure).hasMessageThat().contains("cannot read a response head");
		assertThat(failure.requestSent()).isTrue();
	}

	/**
	 * Sends a response whose body is broken, on a connection that stays open.
	 */
	private void assertBodyFails(String response) throws IOException {
		respond(response);
		IOException failure = Failures.thrownBy(IOException.class, this::receiveBody);
		assertThat(failure).isNotInstanceOf(SocketTimeoutException.class);
	}

	private void assertRead(String response) throws IOException {
		respond(response);
		assertThat(receiveBody()).isEqualTo(ResponseForms.CONTENT);
	}

	@Nested
	class Lengths {

		@ParameterizedTest
		@MethodSource(FORMS + "brokenLengths")
		void brokenLengthFails(String length) throws IOException {
			assertHeadFails(STATUS_LINE + FIELD + length + "\r\n\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenLengths")
		void brokenLengthAsTheFirstFieldFails(String length) throws IOException {
			assertHeadFails(STATUS_LINE + length + "\r\n" + FIELD + "\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenCodings")
		void brokenCodingFails(String coding) throws IOException {
			assertHeadFails(STATUS_LINE + FIELD + coding + "\r\n\r\n" + ResponseForms.chunks(""));
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenLengths")
		void brokenLengthInAnInterimResponseFails(String length) throws IOException {
			assertHeadFails(INTERIM + length + "\r\n\r\n" + WHOLE);
		}

		@ParameterizedTest
		@ValueSource(strings = { "204 No Content\r\nContent-Length: 4", "204 No Content\r\nContent-Length: x",
				"204 No Content\r\nTransfer-Encoding: chunked", "304 Not Modified\r\nContent-Length: x",
				"304 Not Modified\r\nContent-Length: 4\r\nContent-Length: 5" })
		void brokenLengthOfAResponseWithoutABodyFails(String head) throws IOException {
			assertHeadFails("HTTP/1.1 " + head + "\r\n\r\n");
		}

		@ParameterizedTest
		@ValueSource(strings = { "Content-Length: 4", "Transfer-Encoding: chunked" })
		void interimResponseWithABodyFails(String length) throws IOException {
			assertHeadFails(INTERIM + length + "\r\n\r\n" + WHOLE);
		}

		@Test
		void chunksOfAnOlderVersionFail() throws IOException {
			assertHeadFails("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + ResponseForms.chunks(""));
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundLengths")
		void soundLengthIsRead(String length) throws IOException {
			assertRead(STATUS_LINE + FIELD + length + "\r\n\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundCodings")
		void soundCodingIsRead(String coding) throws IOException {
			assertRead(STATUS_LINE + FIELD + coding + "\r\n\r\n" + ResponseForms.chunks(""));
		}

		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.0 200 OK\r\n\r\nbody",
				"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody" })
		void bodyMayEndWithItsConnection(String response) throws IOException {
			respondWhole(response, true);
			assertThat(receiveBody()).isEqualTo(ResponseForms.CONTENT);
		}

		@ParameterizedTest
		@ValueSource(strings = { "204 No Content", "204 No Content\r\nContent-Length: 0", "304 Not Modified",
				"304 Not Modified\r\nContent-Length: 4", "200 OK\r\nContent-Length: 0" })
		void responseWithoutABodyIsRead(String head) throws IOException {
			respond("HTTP/1.1 " + head + "\r\n\r\n");
			assertThat(receiveBody()).isEmpty();
		}

	}

	/**
	 * The request asks for the head only.
	 */
	@Nested
	class HeadRequests {

		@BeforeEach
		void requestHead() throws IOException {
			ResponseSyntaxTests.this.connection.send(new BasicClassicHttpRequest("HEAD", "/"), new byte[0]);
		}

		@ParameterizedTest
		@ValueSource(strings = { "Content-Length: 4", "Transfer-Encoding: chunked", "X-Name: 1" })
		void headIsTheWholeResponse(String line) throws IOException {
			respond(STATUS_LINE + line + "\r\n\r\n");
			assertThat(receiveBody()).isEmpty();
		}

		@Test
		void brokenLengthFails() throws IOException {
			assertHeadFails(STATUS_LINE + "Content-Length: +4\r\n\r\n");
		}

	}

	@Nested
	class Fields {

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void brokenFieldFails(String line) throws IOException {
			assertHeadFails(STATUS_LINE + "Content-Length: 4\r\n" + line + "\r\n" + FIELD + "\r\nbody");
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void brokenFieldAsTheFirstOrLastOneFails(String line) throws IOException {
			assertHeadFails(STATUS_LINE + line + "\r\nContent-Length: 4\r\n\r\nbody");
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void brokenFieldInAnInterimResponseFails(String line) throws IOException {
			assertHeadFails(INTERIM + FIELD + line + "\r\n\r\n" + WHOLE);
		}

		@ParameterizedTest
		@ValueSource(strings = { " X-Name: 1", "\tX-Name: 1", " garbage", " ", "\t" })
		void continuationOfNoFieldFails(String line) throws IOException {
			assertHeadFails(STATUS_LINE + line + "\r\nContent-Length: 4\r\n\r\nbody");
		}

		@ParameterizedTest
		@ValueSource(strings = { " ", "\t", " \t " })
		void lineOfBlanksFails(String line) throws IOException {
			assertHeadFails(STATUS_LINE + "Content-Length: 4\r\n" + line + "\r\n\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundFields")
		void soundFieldIsRead(String line) throws IOException {
			assertRead(INTERIM + line + "\r\n\r\n" + STATUS_LINE + line + "\r\nContent-Length: 4\r\n" + line
					+ "\r\n\r\nbody");
		}

		@Test
		void continuedValueIsOneValue() throws IOException {
			respond(STATUS_LINE + "X-Name: a\r\n \tb\r\nContent-Length: 4\r\n\r\nbody");
			assertThat(receive().head().getFirstHeader("X-Name").getValue()).isEqualTo("a b");
		}

		@Test
		void linesMayEndWithLineFeedsAlone() throws IOException {
			assertRead("HTTP/1.1 200 OK\nX-Name: a\nContent-Length: 4\n\nbody");
		}

	}

	@Nested
	class StatusLines {

		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 200 a\u0000b", "HTTP/1.1 200 a\rb", "HTTP/1.1 200 \u007f",
				"HTTP/1.10 200 OK", "HTTP/1.1 200OK", "HTTP/1.1 2000 OK", "HTTP/1.1 000 OK", "HTTP/1.1 +20 OK",
				"HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "HTTP/2.0 200 OK" })
		void brokenStatusLineFails(String line) throws IOException {
			assertHeadFails(line + "\r\nContent-Length: 4\r\n\r\nbody");
		}

		@ParameterizedTest
		@ValueSource(
				strings = { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 caf\u00e9 \u0085", "HTTP/1.1 200 a\tb: c" })
		void soundStatusLineIsRead(String line) throws IOException {
			assertRead(line + "\r\nContent-Length: 4\r\n\r\nbody");
		}

	}

	@Nested
	class Chunks {

		private static final String HEAD = STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n";

		@ParameterizedTest
		@MethodSource(FORMS + "brokenChunks")
		void brokenChunkFails(String chunks) throws IOException {
			assertBodyFails(HEAD + chunks);
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void brokenTrailerFails(String line) throws IOException {
			assertBodyFails(HEAD + ResponseForms.chunks(line));
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void brokenTrailerBehindAnotherOneFails(String line) throws IOException {
			assertBodyFails(HEAD + ResponseForms.chunks("X-Trailer: a\r\n" + line));
		}

		@ParameterizedTest
		@ValueSource(strings = { " X-Name: 1", "\tX-Name: 1", " " })
		void continuationOfNoTrailerFails(String line) throws IOException {
			assertBodyFails(HEAD + ResponseForms.chunks(line));
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundChunks")
		void soundChunksAreRead(String chunks) throws IOException {
			assertRead(HEAD + chunks);
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundFields")
		void soundTrailersAreRead(String line) throws IOException {
			assertRead(HEAD + ResponseForms.chunks(line));
		}

		@Test
		void chunksThatArriveByteForByteAreRead() throws IOException {
			String response = HEAD + ResponseForms.chunks("X-Trailer: a");
			for (char c : response.toCharArray()) {
				respond(String.valueOf(c));
			}
			assertThat(receiveBody()).isEqualTo(ResponseForms.CONTENT);
		}

	}

	/**
	 * A read times out within a chunked body; the next one goes on from there.
	 */
	@Nested
	class PausesWithinChunks {

		private static final String HEAD = STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n";

		private static final long PAUSE_MILLIS = 20;

		private final byte[] bytes = new byte[16];

		private StreamedResponse response;

		/**
		 * Sends the beginning of a response and reads it until it times out.
		 */
		private void readBefore(String beginning) throws IOException {
			respond(HEAD + beginning);
			this.response = receive();
			ResponseSyntaxTests.this.connection.setReadDeadline(PAUSE_MILLIS);
			Failures.thrownBy(SocketTimeoutException.class, () -> this.response.body().readAllBytes());
		}

		private int readAfter(String end) throws IOException {
			respond(end);
			ResponseSyntaxTests.this.connection.setReadDeadline(TIMEOUT_MILLIS);
			return this.response.body().read(this.bytes);
		}

		@ParameterizedTest
		@ValueSource(strings = { "4\r\nbody\r\n0\r\n", "4\r\nbody\r\n0\r\nX-Trailer: a\r\n",
				"4\r\nbody\r\n0\r\nX-Trail", "4\r\nbody\r\n0\r\n\r" })
		void brokenTrailerBehindThePauseFails(String beginning) throws IOException {
			readBefore(beginning);
			Failures.thrownBy(IOException.class, () -> readAfter("\u0000\r\n\r\n"));
		}

		@ParameterizedTest
		@ValueSource(strings = { "4\r\nbody\r\n0\r\n", "4\r\nbody\r\n0\r\nX-Trailer: a\r\n" })
		void endOfTheConnectionBehindThePauseFails(String beginning) throws IOException {
			readBefore(beginning);
			ResponseSyntaxTests.this.accepted.shutdownOutput();
			Failures.thrownBy(IOException.class, () -> readAfter(""));
		}

		@ParameterizedTest
		@ValueSource(strings = { "4\r\nbody\r\n0\r\n", "4\r\nbody\r\n0\r\nX-Trailer: a\r\n",
				"4\r\nbody\r\n0\r\nX-Trailer: a", "4\r\nbody\r\n0", "4\r\nbody\r\n" })
		void soundEndBehindThePauseIsRead(String beginning) throws IOException {
			readBefore(beginning);
			String rest = "4\r\nbody\r\n0\r\nX-Trailer: a\r\n\r\n".substring(beginning.length());
			assertThat(readAfter(rest)).isEqualTo(-1);
		}

	}

}
