package org.jaywood.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;
import org.jaywood.FixedResponseServer;
import org.jaywood.ResponseForms;
import org.jaywood.feed.BootClock;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a broken response that passes as that of an agent, a peer, an engine, a
 * service or the store between the processes of an installation, and against a sound one
 * that is rejected.
 */
class BrokenPeerResponseTests {

	private static final String FORMS = "org.jaywood.ResponseForms#";

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final long MAX_MILLIS = 1_000;

	private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

	private static final String LENGTH = ResponseForms.LENGTH + "\r\n";

	private static final String CHUNKED = STATUS_LINE + ResponseForms.CHUNKED + "\r\n\r\n";

	private final WireClient client = WireClient.plain(null);

	private byte[] stream(Address address) throws IOException, InterruptedException {
		HttpResponse<InputStream> response = this.client
			.stream(this.client.request(address.uri("/x"), TIMEOUT).GET().build());
		try (InputStream body = response.body()) {
			return body.readAllBytes();
		}
	}

	/**
	 * Checks that a response fails at once, read whole or as a stream, and that no
	 * request is repeated.
	 */
	private void assertFails(String response) throws IOException {
		try (FixedResponseServer server = new FixedResponseServer(response)) {
			long sinceMillis = BootClock.nowMillis();
			Failures.thrownBy(IOException.class, () -> this.client.get(server.address().uri("/x"), TIMEOUT));
			Failures.thrownBy(IOException.class, () -> stream(server.address()));
			assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(MAX_MILLIS);
			assertThat(server.requests()).isEqualTo(2);
		}
	}

	private void assertRead(String response) throws IOException, InterruptedException {
		try (FixedResponseServer server = new FixedResponseServer(response)) {
			assertThat(this.client.get(server.address().uri("/x"), TIMEOUT).body())
				.isEqualTo(bytes(ResponseForms.CONTENT));
			assertThat(stream(server.address())).isEqualTo(bytes(ResponseForms.CONTENT));
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	@Nested
	class Broken {

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void fieldFails(String line) throws IOException {
			assertFails(STATUS_LINE + LENGTH + line + "\r\n\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenLengths")
		void lengthFails(String length) throws IOException {
			assertFails(STATUS_LINE + length + "\r\n\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenCodings")
		void codingFails(String coding) throws IOException {
			assertFails(STATUS_LINE + coding + "\r\n\r\n" + ResponseForms.chunks(""));
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenChunks")
		void chunkFails(String chunks) throws IOException {
			assertFails(CHUNKED + chunks);
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
		void trailerFails(String trailer) throws IOException {
			assertFails(CHUNKED + ResponseForms.chunks(trailer));
		}

		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 000 Status", "HTTP/1.1 2000 OK", "HTTP/1.1 200OK", "HTTP/1.1\t200 OK",
				"HTTP/1.1 200 a\u0000b" })
		void statusLineFails(String line) throws IOException {
			assertFails(line + "\r\n" + LENGTH + "\r\nbody");
		}

	}

	@Nested
	class Sound {

		@ParameterizedTest
		@MethodSource(FORMS + "soundFields")
		void fieldIsRead(String line) throws Exception {
			assertRead(STATUS_LINE + line + "\r\n" + LENGTH + "\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundLengths")
		void lengthIsRead(String length) throws Exception {
			assertRead(STATUS_LINE + length + "\r\n\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundChunks")
		void chunksAreRead(String chunks) throws Exception {
			assertRead(CHUNKED + chunks);
		}

		@ParameterizedTest
		@MethodSource(FORMS + "soundFields")
		void trailerIsRead(String trailer) throws Exception {
			assertRead(CHUNKED + ResponseForms.chunks(trailer));
		}

	}

}
