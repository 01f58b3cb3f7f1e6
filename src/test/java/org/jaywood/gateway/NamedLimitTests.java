package org.jaywood.gateway;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that are sent to an engine beyond the limit that it names in some
 * kind of response.
 */
class NamedLimitTests extends GatewayFixture {

	private static final String LIMIT = "Server-Limit: 0.5\r\n";

	@ParameterizedTest
	@ValueSource(strings = { "200", "404", "500", "503", "503-not-run", "429-not-run" })
	void noCallFollowsAtOnceWhateverTheResponse(String kind) throws IOException {
		int status = Integer.parseInt(kind.substring(0, 3));
		String headers = LIMIT + (kind.endsWith("not-run") ? "X-Not-Executed: 1\r\n" : "");
		FakeUpstream limited = new FakeUpstream(answer(status, headers));
		Gateway gateway = start(limited);
		call(gateway, UNSAFE, 1);
		assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 503");
		assertThat(call(gateway, SAFE, 3)).startsWith("HTTP/1.1 503");
		assertThat(limited.requests()).hasSize(1);
	}

	@Test
	void headOfAStreamNamesItWhileTheStreamGoesOn() throws IOException {
		FakeUpstream limited = new FakeUpstream((request, number, out, socket) -> {
			write(out, FakeUpstream.streamHead(request).replace("Content-Type", LIMIT + "Content-Type")
					+ FakeUpstream.chunk("id: 1\ndata: a\n\n"));
			pause(600);
			write(out, "0\r\n\r\n");
		});
		Gateway gateway = start(limited);
		Thread first = Thread.ofVirtual().start(() -> {
			try {
				exchange(gateway, STREAM);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		Awaitility.await().pollDelay(300, TimeUnit.MILLISECONDS).until(() -> !limited.requests().isEmpty());
		assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 503");
		assertThat(first.isAlive()).isTrue();
	}

	@Test
	void callerIsRefusedAtOnceWithTheTimeOfTheNextShare() throws IOException {
		Gateway gateway = start(new FakeUpstream(answer(200, LIMIT)));
		call(gateway, UNSAFE, 1);
		long startNanos = System.nanoTime();
		String refusal = call(gateway, UNSAFE, 2);
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).isLessThan(300);
		assertThat(refusal).contains("rate-limited");
		Matcher retryAfter = Pattern.compile("Retry-After: ([0-9.]+)").matcher(refusal);
		assertThat(retryAfter.find()).isTrue();
		assertThat(Double.parseDouble(retryAfter.group(1))).isAtLeast(2.0);
	}

	@Test
	void callsGoToUpstreamsWithoutALimit() throws IOException {
		FakeUpstream limited = new FakeUpstream(answer(200, LIMIT));
		Gateway gateway = start(limited, new FakeUpstream(answer(200, "")));
		for (int number = 1; number <= 12; number++) {
			assertThat(call(gateway, SAFE, number)).startsWith("HTTP/1.1 200");
		}
		assertThat(limited.requests().size()).isAtMost(1);
	}

	@Test
	void limitDoesNotReachTheCaller() throws IOException {
		assertThat(call(start(new FakeUpstream(answer(200, LIMIT))), SAFE, 1)).doesNotContain("Server-Limit");
	}

}
