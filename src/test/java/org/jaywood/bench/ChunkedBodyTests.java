package org.jaywood.bench;

import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import org.jaywood.Failures;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against taking a truncated response for a complete one, and against losing bytes
 * when a chunk ends within a line.
 */
class ChunkedBodyTests {

	@Test
	void joinsChunks() throws Exception {
		ChunkedBody body = body("HTTP/1.1 200 OK\r\nA: b\r\n\r\n4\r\ndata\r\n5\r\n: 1\n\n\r\n0\r\n\r\n");
		assertThat(body.readHead()).isEqualTo(200);
		assertThat(body.readBodyLine()).isEqualTo("data: 1");
		assertThat(body.readBodyLine()).isEmpty();
		assertThat(body.read()).isEqualTo(-1);
	}

	@Test
	void reportsMissingFinalChunk() throws Exception {
		ChunkedBody body = body("HTTP/1.1 200 OK\r\n\r\n2\r\na\n\r\n");
		body.readHead();
		assertThat(body.readBodyLine()).isEqualTo("a");
		Failures.thrownBy(EOFException.class, body::read);
	}

	private static ChunkedBody body(String response) {
		return new ChunkedBody(new ByteArrayInputStream(response.getBytes(StandardCharsets.UTF_8)));
	}

}
