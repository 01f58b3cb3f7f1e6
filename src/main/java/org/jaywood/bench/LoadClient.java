package org.jaywood.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.LoadCall.Kind;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.standin.TokenFunction;
import org.jaywood.wire.Address;
import org.jaywood.wire.CallOutcome;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Headers;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;
import org.jaywood.wire.WireException;

/**
 * Sends calls to caller ports and checks each answer against {@link TokenFunction}, the
 * pure function that the engine stand-ins compute.
 */
public final class LoadClient {

	private static final String EVENT_PREFIX = "data: ";

	private final WireClient client = WireClient.plain(null);

	private final Set<String> allowedWeights = ConcurrentHashMap.newKeySet();

	private final Duration timeout;

	LoadClient(Duration timeout) {
		this.timeout = timeout;
	}

	/**
	 * Adds a set of weights that answers may come from. A streamed answer does not name
	 * its weights, so all its tokens must match the same allowed set.
	 */
	void allowWeights(String digest) {
		this.allowedWeights.add(digest);
	}

	/**
	 * Makes a call and waits until it has ended.
	 * @param caller caller port
	 * @param call the call
	 * @param dueNanos time at which the call was due, of the monotonic clock; times are
	 * measured from it, so that they include a late start
	 */
	LoadResult call(Address caller, LoadCall call, long dueNanos) throws InterruptedException {
		try {
			HttpResponse<InputStream> response = this.client.stream(request(caller, call));
			try (BufferedReader body = new BufferedReader(
					new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
				return (response.statusCode() == 200) ? checkAnswer(call, body, dueNanos)
						: errorResult(response, dueNanos);
			}
		}
		catch (IOException | WireException ex) {
			return new LoadResult(Outcome.LOST, 0, microsSince(dueNanos), String.valueOf(ex));
		}
	}

	private HttpRequest request(Address caller, LoadCall call) {
		HttpRequest.Builder builder = switch (call.kind()) {
			case STREAM,
					WHOLE ->
				this.client.request(caller.uri("/v1/completions"), this.timeout)
					.setHeader("Content-Type", "application/json")
					.POST(BodyPublishers.ofByteArray(Json.bytes(Map.of("model", call.service(), "prompt", call.prompt(),
							"max_tokens", call.tokens(), "stream", call.kind() == Kind.STREAM))));
			case READ -> this.client.request(plainServiceUri(caller, call), this.timeout).GET();
			case REPLACE -> this.client.request(plainServiceUri(caller, call), this.timeout)
				.PUT(BodyPublishers.ofString(call.prompt()));
			case BOOK -> this.client.request(plainServiceUri(caller, call), this.timeout)
				.POST(BodyPublishers.ofString(call.prompt()));
		};
		return builder.setHeader(Headers.WORKSPACE, call.workspace())
			.setHeader(Headers.DEADLINE_MILLIS, Long.toString(this.timeout.toMillis()))
			.build();
	}

	private static URI plainServiceUri(Address caller, LoadCall call) {
		return caller.uri("/services/" + call.service() + itemPath(call));
	}

	private static String itemPath(LoadCall call) {
		return "/items/" + call.prompt();
	}

	private static LoadResult errorResult(HttpResponse<InputStream> response, long dueNanos) {
		String outcomeHeader = response.headers().firstValue(Headers.OUTCOME).orElse("");
		boolean notRun = outcomeHeader.equals(CallOutcome.NOT_RUN.headerValue()) || response.statusCode() / 100 == 4;
		boolean unknown = outcomeHeader.equals(CallOutcome.UNKNOWN.headerValue()) || response.statusCode() == 504;
		Outcome outcome = notRun ? Outcome.REFUSED : unknown ? Outcome.UNKNOWN : Outcome.LOST;
		return new LoadResult(outcome, 0, microsSince(dueNanos), "status " + response.statusCode());
	}

	private LoadResult checkAnswer(LoadCall call, BufferedReader body, long dueNanos) throws IOException {
		return switch (call.kind()) {
			case STREAM -> checkStream(call, body, dueNanos);
			case WHOLE -> checkWhole(call, Json.read(body.readAllAsString(), JsonNode.class), dueNanos);
			case READ, REPLACE, BOOK -> {
				JsonNode answer = Json.read(body.readAllAsString(), JsonNode.class);
				yield checkedResult(answer.path("path").asText().equals(itemPath(call)), 0, dueNanos, answer::toString);
			}
		};
	}

	private LoadResult checkWhole(LoadCall call, JsonNode answer, long dueNanos) {
		String digest = answer.path("weights").asText();
		String text = answer.path("text").asText();
		boolean correct = !digest.isEmpty() && answer.path("count").asInt() == call.tokens()
				&& text.equals(expectedTokens(digest, call).collect(Collectors.joining()))
				&& answer.path("digest").asText().equals(Digests.sha256(text));
		return checkedResult(correct, 0, dueNanos, () -> "whole answer of weights " + digest + " with "
				+ answer.path("count").asInt() + " tokens: " + text);
	}

	private LoadResult checkStream(LoadCall call, BufferedReader body, long dueNanos) throws IOException {
		List<String> tokens = new ArrayList<>();
		long firstTokenMicros = 0;
		for (String line = body.readLine(); line != null; line = body.readLine()) {
			if (!line.startsWith(EVENT_PREFIX) || line.equals(EVENT_PREFIX + "[DONE]")) {
				continue;
			}
			JsonNode event = Json.read(line.substring(EVENT_PREFIX.length()), JsonNode.class);
			if (event.has("error")) {
				return new LoadResult(Outcome.UNKNOWN, 0, microsSince(dueNanos),
						event.at("/error/reason").asText("error event"));
			}
			if (event.path("end").asBoolean()) {
				boolean complete = event.path("count").asInt() == call.tokens() && tokens.size() == call.tokens()
						&& event.path("digest").asText().equals(Digests.sha256(String.join("", tokens)));
				return checkedResult(complete && matchesAllowedWeights(tokens, call), firstTokenMicros, dueNanos,
						() -> "stream with the end " + event + " behind " + tokens.size() + " tokens: "
								+ String.join("", tokens));
			}
			if (event.has("index")) {
				firstTokenMicros = (firstTokenMicros == 0) ? microsSince(dueNanos) : firstTokenMicros;
				tokens.add(event.path("text").asText());
			}
		}
		return new LoadResult(Outcome.LOST, 0, microsSince(dueNanos), "no end marker");
	}

	private boolean matchesAllowedWeights(List<String> tokens, LoadCall call) {
		return this.allowedWeights.stream().anyMatch((digest) -> expectedTokens(digest, call).toList().equals(tokens));
	}

	private static Stream<String> expectedTokens(String digest, LoadCall call) {
		return IntStream.range(0, call.tokens()).mapToObj((index) -> TokenFunction.token(digest, call.prompt(), index));
	}

	private static LoadResult checkedResult(boolean correct, long firstTokenMicros, long dueNanos,
			Supplier<String> received) {
		return new LoadResult(correct ? Outcome.ANSWERED : Outcome.WRONG, firstTokenMicros, microsSince(dueNanos),
				correct ? "" : "answer differs, received: " + received.get());
	}

	private static long microsSince(long startNanos) {
		return Math.max(1, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
	}

}
