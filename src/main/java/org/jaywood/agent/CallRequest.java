package org.jaywood.agent;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Headers;
import org.jaywood.wire.Json;

/**
 * An attempt as read from the HTTP request of its router.
 *
 * @param router incarnation of the router
 * @param attempt number of the attempt, from 1 on
 * @param expectedIncarnation incarnation of the addressed agent
 * @param requestId id of the call
 * @param service addressed service
 * @param priority 0 (highest) to 9
 * @param deadlineMillis deadline of the call
 * @param requiredWeights digest of the weights that must serve it, empty for any
 * @param resumeFrom index of the first requested token
 * @param method method of a plain call, null for a model call
 * @param path path of a plain call
 * @param idempotencyKey idempotency key of a plain call, or null
 * @param body the call's body
 */
record CallRequest(String router, long attempt, String expectedIncarnation, String requestId, String service,
		int priority, long deadlineMillis, String requiredWeights, int resumeFrom, @Nullable String method, String path,
		@Nullable String idempotencyKey, byte[] body) {

	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	private static final int DEFAULT_MAX_TOKENS = 16;

	private static final int LOWEST_PRIORITY = 9;

	private static final long DEFAULT_REMAINING_MILLIS = 60_000;

	static CallRequest read(Exchange exchange, long nowMillis) throws IOException {
		long attempt = exchange.headerLong(Headers.ATTEMPT, 0);
		String router = exchange.optionalHeader(Headers.INCARNATION).orElse("");
		String expectedIncarnation = exchange.optionalHeader(Headers.EXPECTED_INCARNATION).orElse("");
		if (attempt <= 0 || router.isEmpty() || expectedIncarnation.isEmpty()) {
			throw new BadInputException(400, "a hand-over needs " + Headers.ATTEMPT + ", " + Headers.INCARNATION
					+ " and " + Headers.EXPECTED_INCARNATION);
		}
		return new CallRequest(router, attempt, expectedIncarnation,
				exchange.optionalHeader(Headers.REQUEST_ID).orElse(""),
				exchange.optionalHeader(Headers.SERVICE).orElse(""),
				(int) Math.clamp(exchange.headerLong(Headers.PRIORITY, 5), 0, LOWEST_PRIORITY),
				nowMillis + Math.clamp(exchange.headerLong(Headers.REMAINING_MILLIS, DEFAULT_REMAINING_MILLIS), 0,
						86_400_000),
				exchange.optionalHeader(Headers.WEIGHTS).orElse(""),
				(int) Math.clamp(exchange.headerLong(Headers.RESUME_FROM, 0), 0, Integer.MAX_VALUE),
				exchange.header(Headers.METHOD), exchange.optionalHeader(Headers.PATH).orElse("/"),
				exchange.header(Headers.IDEMPOTENCY_KEY), exchange.readBody(MAX_BODY_BYTES));
	}

	/**
	 * Returns a request for one token that warms up an engine.
	 */
	static CallRequest warmUp(String requestId, String weights, long deadlineMillis) {
		byte[] body = Json.bytes(Map.of("prompt", "warm-up", "max_tokens", 1));
		return new CallRequest("warm-up", 0, "", requestId, "", LOWEST_PRIORITY, deadlineMillis, weights, 0, null, "/",
				null, body);
	}

	boolean plain() {
		return this.method != null;
	}

	/**
	 * Returns the request to the engine for a part of the answer.
	 * @param from index of the first token
	 * @param to index after the last token
	 */
	ObjectNode engineRequest(int from, int to) {
		JsonNode call = Json.tree(this.body);
		if (!(call instanceof ObjectNode request)) {
			throw new BadInputException(400, "body of a model call is not a JSON object");
		}
		return request.put("request_id", this.requestId)
			.put("priority", this.priority)
			.put("resume_from", from)
			.put("max_tokens", to);
	}

	/**
	 * Returns the maximum number of tokens of the whole answer.
	 */
	int maxTokens() {
		return Math.max(0, Json.tree(this.body).path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
	}

	/**
	 * Returns the most bytes that this call holds at the upstream up to a token of its
	 * answer.
	 * @param to index after the last token
	 * @param tokenBytes memory of one token
	 */
	long maxUpstreamBytes(int to, long tokenBytes) {
		return this.body.length + (plain() ? 0 : to * tokenBytes);
	}

}
