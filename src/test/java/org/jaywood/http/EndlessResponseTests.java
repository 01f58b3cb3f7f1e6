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
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that sends bytes without end or that are no response, of which
 * the reader keeps all until the call's deadline.
 */
class EndlessResponseTests {

	private static final long TIMEOUT_MILLIS = 2_000;

	/** Bytes of a head of which a reader may not wait for more. */
	private static final int EXCESS_BYTES = 64 * 1024;

	private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

	private static final String INTERIM = "HTTP/1.1 102 Processing\r\n";

	private static final String CHUNKED = STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n";

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

	/**
	 * Sends a text and then nothing, with the connection open.
	 */
	private void respond(String text) {
		Thread.ofVirtual().start(() -> {
			try {
				this.accepted.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			}
			catch (IOException ex) {
				// The reader has closed the connection.
			}
		});
	}

	private static String headerLines(int lineBytes, int totalBytes) {
		return ("X-Fill: " + "a".repeat(lineBytes - 10) + "\r\n").repeat(totalBytes / lineBytes);
	}

	private void assertHeadFailsAtOnce() {
		assertThat(Failures.thrownBy(ConnectionException.class, () -> this.connection.receiveWithin(TIMEOUT_MILLIS)))
			.isNotNull();
	}

	@Nested
	class Heads {

		@ParameterizedTest
		@ValueSource(ints = { 1_000, 15_000 })
		void headOfManyLinesWithinTheLimitOfALineFails(int lineBytes) {
			respond(STATUS_LINE + headerLines(lineBytes, EXCESS_BYTES));
			assertHeadFailsAtOnce();
		}

		@Test
		void interimResponsesCountTogether() {
			respond((INTERIM + headerLines(8_000, 8_000) + "\r\n").repeat(EXCESS_BYTES / 8_000));
			assertHeadFailsAtOnce();
		}

		@Test
		void headWithoutLineEndFails() {
			respond(STATUS_LINE + "X-Fill: " + "a".repeat(EXCESS_BYTES));
			assertHeadFailsAtOnce();
		}

		@ParameterizedTest
		@ValueSource(strings = { "HTT!", "{\"text\":", "SSH-2.0-x\r\n", "\u0016\u0003\u0001" })
		void bytesThatBeginNoResponseFailBeforeTheirLineEnds(String text) {
			respond(text);
			assertHeadFailsAtOnce();
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "2OO", "", "20", "2000" })
		void invalidStatusFailsBeforeTheHeadEnds(String status) {
			respond("HTTP/1.1 " + status + " Status\r\n");
			assertHeadFailsAtOnce();
		}

		@Test
		void lineThatIsNoHeaderFailsBeforeTheHeadEnds() {
			respond(STATUS_LINE + "this is no header\r\n");
			assertHeadFailsAtOnce();
		}

		@Test
		void startOfAHeadThatArrivesInPartsIsAwaited() throws IOException {
			respond("HTT");
			assertThat(connectionResponse(50)).isNull();
			respond("P/1.1 204 No Content\r\n\r\n");
			assertThat(EndlessResponseTests.this.connection.receive(TIMEOUT_MILLIS).status()).isEqualTo(204);
		}

		private StreamedResponse connectionResponse(long waitMillis) throws IOException {
			return EndlessResponseTests.this.connection.receiveWithin(waitMillis);
		}

		@Test
		void headWithinTheLimitIsRead() throws IOException {
			respond(INTERIM + headerLines(8_000, 8_000) + "\r\n" + STATUS_LINE + headerLines(8_000, 8_000)
					+ "Content-Length: 1\r\n\r\na");
			assertThat(EndlessResponseTests.this.connection.receive(TIMEOUT_MILLIS).status()).isEqualTo(200);
		}

	}

	@Nested
	class Trailers {

		private void assertBodyFailsAtOnce() throws IOException {
			StreamedResponse response = EndlessResponseTests.this.connection.receive(TIMEOUT_MILLIS);
			EndlessResponseTests.this.connection.setReadDeadline(TIMEOUT_MILLIS);
			IOException failure = Failures.thrownBy(IOException.class, () -> response.body().readAllBytes());
			assertThat(failure).isNotInstanceOf(SocketTimeoutException.class);
		}

		@ParameterizedTest
		@ValueSource(ints = { 1_000, 15_000 })
		void trailersOfManyLinesWithinTheLimitOfALineFail(int lineBytes) throws IOException {
			respond(CHUNKED + "1\r\na\r\n0\r\n" + headerLines(lineBytes, EXCESS_BYTES));
			assertBodyFailsAtOnce();
		}

		@Test
		void chunkExtensionWithoutEndFails() throws IOException {
			respond(CHUNKED + "1;x=" + "a".repeat(EXCESS_BYTES));
			assertBodyFailsAtOnce();
		}

		@Test
		void linesOfChunksDoNotAddUp() throws IOException {
			int chunks = EXCESS_BYTES / 4;
			respond(CHUNKED + "1;x=y\r\na\r\n".repeat(chunks) + "0\r\n\r\n");
			byte[] body = EndlessResponseTests.this.connection.receive(TIMEOUT_MILLIS).body().readAllBytes();
			assertThat(body).hasLength(chunks);
		}

	}

}
