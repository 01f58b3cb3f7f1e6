package org.jaywood.bench;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.bench.LoadCall.Kind;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.event.EventLog;
import org.jaywood.standin.TokenFunction;
import org.jaywood.wire.Address;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Handler;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the counts of lost and wrong answers: a client that accepts a truncated answer
 * or the answer to another call would hide the failures that experiments measure.
 */
class LoadClientTests {

	private final LoadClient client = new LoadClient(Duration.ofSeconds(2));

	private Handler responder = (exchange) -> exchange.respondError(500, "not set");

	private HttpPort port;

	@BeforeEach
	void startServer() {
		this.port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("test"))
			.route("*", "/", (exchange) -> this.responder.handle(exchange))
			.start();
		this.client.allowWeights("w");
	}

	@AfterEach
	void stopServer() {
		this.port.close();
	}

	private Outcome outcomeOf(Kind kind, Handler handler) throws InterruptedException {
		this.responder = handler;
		return this.client.call(this.port.address(), new LoadCall(kind, "pool", "ws", "p", 2), System.nanoTime())
			.outcome();
	}

	private static String expectedText(String weights) {
		return TokenFunction.token(weights, "p", 0) + TokenFunction.token(weights, "p", 1);
	}

	private static void sendEvents(Exchange exchange, String firstWeights, String secondWeights, boolean end)
			throws IOException {
		String first = TokenFunction.token(firstWeights, "p", 0);
		String second = TokenFunction.token(secondWeights, "p", 1);
		OutputStream out = exchange.stream(200, "text/event-stream");
		writeEvent(out, Map.of("index", 0, "text", first));
		writeEvent(out, Map.of("index", 1, "text", second));
		if (end) {
			writeEvent(out, Map.of("end", true, "count", 2, "digest", Digests.sha256(first + second)));
		}
		out.close();
	}

	private static void writeEvent(OutputStream out, Object value) throws IOException {
		out.write(("data: " + Json.text(value) + "\n\n").getBytes(StandardCharsets.UTF_8));
	}

	@Nested
	class Streamed {

		@Test
		void completeStreamIsAnswered() throws Exception {
			assertThat(outcomeOf(Kind.STREAM, (exchange) -> sendEvents(exchange, "w", "w", true)))
				.isEqualTo(Outcome.ANSWERED);
		}

		@Test
		void answerOfMixedWeightsIsWrong() throws Exception {
			LoadClientTests.this.client.allowWeights("x");
			assertThat(outcomeOf(Kind.STREAM, (exchange) -> sendEvents(exchange, "w", "x", true)))
				.isEqualTo(Outcome.WRONG);
		}

		@Test
		void cleanEndWithoutMarkerIsLost() throws Exception {
			assertThat(outcomeOf(Kind.STREAM, (exchange) -> sendEvents(exchange, "w", "w", false)))
				.isEqualTo(Outcome.LOST);
		}

	}

	@Nested
	class Unstreamed {

		@Test
		void completeAnswerIsAnswered() throws Exception {
			assertThat(
					outcomeOf(Kind.WHOLE,
							(exchange) -> exchange.respondJson(200,
									Map.of("text", expectedText("w"), "count", 2, "digest",
											Digests.sha256(expectedText("w")), "weights", "w"))))
				.isEqualTo(Outcome.ANSWERED);
		}

		@Test
		void answerOfAnotherPromptIsWrong() throws Exception {
			assertThat(outcomeOf(Kind.WHOLE,
					(exchange) -> exchange.respondJson(200,
							Map.of("text", "other", "count", 2, "digest", Digests.sha256("other"), "weights", "w"))))
				.isEqualTo(Outcome.WRONG);
		}

		@Test
		void errorResponseGivesOutcomeOfItsHeader() throws Exception {
			assertThat(outcomeOf(Kind.WHOLE, (exchange) -> {
				exchange.setHeader(Headers.OUTCOME, "not-run");
				exchange.respondError(503, "full");
			})).isEqualTo(Outcome.REFUSED);
			assertThat(outcomeOf(Kind.WHOLE, (exchange) -> {
				exchange.setHeader(Headers.OUTCOME, "unknown");
				exchange.respondError(504, "broke");
			})).isEqualTo(Outcome.UNKNOWN);
			assertThat(outcomeOf(Kind.WHOLE, (exchange) -> exchange.respondError(503, "no statement")))
				.isEqualTo(Outcome.LOST);
		}

		@Test
		void cutResponseIsLost() throws Exception {
			assertThat(outcomeOf(Kind.WHOLE, (exchange) -> {
				throw exchange.abort("cut");
			})).isEqualTo(Outcome.LOST);
		}

	}

	@Nested
	class PlainService {

		@Test
		void answerOfAnotherPathIsWrong() throws Exception {
			assertThat(outcomeOf(Kind.READ, (exchange) -> exchange.respondJson(200, Map.of("path", "/items/p"))))
				.isEqualTo(Outcome.ANSWERED);
			assertThat(outcomeOf(Kind.READ, (exchange) -> exchange.respondJson(200, Map.of("path", "/items/q"))))
				.isEqualTo(Outcome.WRONG);
		}

		/**
		 * Guards the retry figures of the routing experiment: retries by the HTTP client
		 * itself would hide failures from them.
		 */
		@Test
		void putIsNotRepeatedAfterCutResponse() throws Exception {
			AtomicInteger arrivals = new AtomicInteger();
			assertThat(outcomeOf(Kind.REPLACE, (exchange) -> {
				arrivals.incrementAndGet();
				throw exchange.abort("cut");
			})).isEqualTo(Outcome.LOST);
			assertThat(arrivals.get()).isEqualTo(1);
		}

	}

}
