package org.jaywood.gateway;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that are sent to an engine which has said that it leaves, or that
 * it wants no calls for a while.
 */
class UpstreamNoticeTests extends GatewayFixture {

	private static final String LEAVING = "Server-Leaving: 1\r\n";

	/**
	 * The notice of leaving.
	 */
	@Nested
	class Leaving {

		@ParameterizedTest
		@ValueSource(strings = { "200", "404", "500", "503", "503-not-run", "429-not-run" })
		void noCallFollowsTheNotice(String kind) throws IOException {
			int status = Integer.parseInt(kind.substring(0, 3));
			String headers = LEAVING + (kind.endsWith("not-run") ? "X-Not-Executed: 1\r\n" : "");
			FakeUpstream leaving = new FakeUpstream(answer(status, headers));
			Gateway gateway = start(leaving);
			call(gateway, UNSAFE, 1);
			int before = leaving.requests().size();
			assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 503");
			assertThat(call(gateway, SAFE, 3)).startsWith("HTTP/1.1 503");
			assertThat(leaving.requests()).hasSize(before);
		}

		@Test
		void noticeInTheHeadOfAStreamCountsWhileTheStreamGoesOn() throws Exception {
			FakeUpstream leaving = new FakeUpstream((request, number, out, socket) -> {
				write(out, FakeUpstream.streamHead(request).replace("Content-Type", LEAVING + "Content-Type")
						+ FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				pause(600);
				write(out, FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
			});
			Gateway gateway = start(leaving);
			AtomicReference<String> stream = new AtomicReference<>("");
			Thread first = Thread.ofVirtual().start(() -> {
				try {
					stream.set(exchange(gateway, STREAM));
				}
				catch (IOException ex) {
					throw new IllegalStateException(ex);
				}
			});
			Awaitility.await().pollDelay(300, TimeUnit.MILLISECONDS).until(() -> !leaving.requests().isEmpty());
			assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 503");
			first.join();
			assertThat(stream.get()).contains("id: 2");
			assertThat(stream.get()).endsWith("0\r\n\r\n");
			assertThat(leaving.requests()).hasSize(1);
		}

		@Test
		void callsGoToTheUpstreamsThatStay() throws IOException {
			FakeUpstream leaving = new FakeUpstream(answer(200, LEAVING));
			FakeUpstream staying = new FakeUpstream(answer(200, ""));
			Gateway gateway = start(leaving, staying);
			for (int number = 1; number <= 12; number++) {
				assertThat(call(gateway, UNSAFE, number)).startsWith("HTTP/1.1 200");
			}
			assertThat(leaving.requests().size()).isAtMost(1);
		}

		@Test
		void noticeOfAnotherUpstreamAtTheAddressIsNotTakenForThisOne() throws IOException {
			FakeUpstream misdirected = new FakeUpstream((request, number, out, socket) -> write(out, (number == 1)
					? FakeUpstream.response(request, 421, LEAVING, "") : FakeUpstream.response(request, 200, "", "x")));
			Gateway gateway = start(misdirected);
			call(gateway, UNSAFE, 1);
			pause(500);
			assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 200");
		}

		@Test
		void noticeDoesNotReachTheCaller() throws IOException {
			Gateway gateway = start(new FakeUpstream(answer(200, LEAVING)));
			assertThat(call(gateway, SAFE, 1)).doesNotContain("Server-Leaving");
			assertThat(call(gateway, SAFE, 2)).doesNotContain("Server-Leaving");
		}

	}

	/**
	 * The request for a pause.
	 */
	@Nested
	class Pause {

		private static final String PAUSE = "X-Not-Executed: 1\r\nRetry-After: 2.5\r\n";

		@Test
		void callsGoElsewhereDuringThePause() throws IOException {
			FakeUpstream pausing = new FakeUpstream(answer(503, PAUSE));
			FakeUpstream other = new FakeUpstream(answer(200, ""));
			Gateway gateway = start(pausing, other);
			for (int number = 1; number <= 12; number++) {
				assertThat(call(gateway, SAFE, number)).startsWith("HTTP/1.1 200");
			}
			assertThat(pausing.requests().size()).isAtMost(1);
		}

		@Test
		void callerIsRefusedAtOnceWithTheTimeOfThePauseIfAllPause() throws IOException {
			FakeUpstream pausing = new FakeUpstream(answer(503, PAUSE));
			Gateway gateway = start(pausing);
			call(gateway, UNSAFE, 1);
			long startNanos = System.nanoTime();
			String refusal = call(gateway, UNSAFE, 2);
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).isLessThan(300);
			assertThat(refusal).startsWith("HTTP/1.1 503");
			Matcher retryAfter = Pattern.compile("Retry-After: ([0-9.]+)").matcher(refusal);
			assertThat(retryAfter.find()).isTrue();
			assertThat(Double.parseDouble(retryAfter.group(1))).isAtLeast(2.0);
			assertThat(pausing.requests()).hasSize(1);
		}

		@Test
		void callsReturnAfterThePause() throws IOException {
			FakeUpstream pausing = new FakeUpstream((request, number, out, socket) -> write(out,
					(number == 1) ? FakeUpstream.response(request, 503, "X-Not-Executed: 1\r\nRetry-After: 0.8\r\n", "")
							: FakeUpstream.response(request, 200, "", "x")));
			Gateway gateway = start(pausing);
			call(gateway, UNSAFE, 1);
			assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 503");
			pause(900);
			assertThat(call(gateway, UNSAFE, 3)).startsWith("HTTP/1.1 200");
		}

		@ParameterizedTest
		@ValueSource(strings = { "-5", "soon", "Wed, 21 Oct 2026 07:28:00 GMT" })
		void malformedPauseIsIgnored(String value) throws IOException {
			FakeUpstream upstream = new FakeUpstream((request, number, out, socket) -> write(out,
					(number == 1) ? FakeUpstream.response(request, 503,
							"X-Not-Executed: 1\r\nRetry-After: " + value + "\r\n", "")
							: FakeUpstream.response(request, 200, "", "x")));
			Gateway gateway = start(upstream);
			call(gateway, UNSAFE, 1);
			pause(200);
			assertThat(call(gateway, UNSAFE, 2)).startsWith("HTTP/1.1 200");
		}

		@Test
		void gatewayForgetsThePauseWhenItRestarts() throws IOException {
			FakeUpstream pausing = new FakeUpstream((request, number, out, socket) -> write(out, (number == 1)
					? FakeUpstream.response(request, 503, PAUSE, "") : FakeUpstream.response(request, 200, "", "x")));
			call(start(pausing), UNSAFE, 1);
			assertThat(call(start(pausing), UNSAFE, 2)).startsWith("HTTP/1.1 200");
		}

	}

}
