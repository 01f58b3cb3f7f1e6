package org.jaywood.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a refusal that an upstream writes twice on a reused connection, where
 * the duplicate is taken for the response to a request that runs there.
 */
class DuplicateRefusalTests extends GatewayFixture {

	/**
	 * Refuses the first request and writes that refusal again before the response to each
	 * later request on the same connection.
	 */
	private static FakeUpstream.Script repeatingItsRefusal(int status, String headers) {
		Set<Socket> refusing = ConcurrentHashMap.newKeySet();
		return (request, number, out, socket) -> {
			if (number == 1) {
				refusing.add(socket);
				write(out, FakeUpstream.response(request, status, headers, ""));
				return;
			}
			String duplicate = refusing.contains(socket)
					? FakeUpstream.response(request, status, headers, "").replace("call-2", "call-1") : "";
			write(out, duplicate + FakeUpstream.response(request, 200, "", "done"));
		};
	}

	private static String readAnswer(Socket caller) throws IOException {
		StringBuilder text = new StringBuilder();
		byte[] bytes = new byte[4_096];
		while (!text.toString().endsWith("done") && !text.toString().endsWith("}")) {
			int length = caller.getInputStream().read(bytes);
			if (length < 0) {
				return text.toString();
			}
			text.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
		}
		return text.toString();
	}

	private String secondAnswer(Gateway gateway, String first, String second) throws IOException {
		try (Socket caller = new Socket("127.0.0.1", gateway.callerPort())) {
			caller.setSoTimeout(5_000);
			write(caller.getOutputStream(), first);
			assertThat(readAnswer(caller)).startsWith("HTTP/1.1 503");
			write(caller.getOutputStream(), second);
			return readAnswer(caller);
		}
	}

	@Test
	void aRetryAtAnotherIncarnationIsNotRefusedByTheDuplicate() throws IOException {
		FakeUpstream upstream = new FakeUpstream(repeatingItsRefusal(421, ""));
		String answer = exchange(start(upstream, upstream), UNSAFE);
		assertThat(answer).startsWith("HTTP/1.1 200");
		assertThat(upstream.requests()).hasSize(2);
	}

	@Test
	void aRetryWithTheSameIdIsNotRefusedByTheDuplicate() throws IOException {
		FakeUpstream upstream = new FakeUpstream(repeatingItsRefusal(503, "X-Not-Executed: 1\r\n"));
		assertThat(secondAnswer(start(upstream), UNSAFE, UNSAFE)).startsWith("HTTP/1.1 200");
	}

	@Test
	void theNextCallIsNotRefusedByTheDuplicate() throws IOException {
		FakeUpstream upstream = new FakeUpstream(repeatingItsRefusal(503, "X-Not-Executed: 1\r\n"));
		String answer = secondAnswer(start(upstream), UNSAFE, UNSAFE.replace("call-1", "call-2"));
		assertThat(answer).startsWith("HTTP/1.1 200");
	}

}
