package org.jaywood.router;

import java.util.Set;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.config.Deployment;
import org.jaywood.config.ServiceKind;
import org.jaywood.config.ServiceSpec;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Headers;
import org.jaywood.wire.Json;

/**
 * Parses and validates calls. A call that it rejects has not reached any upstream.
 */
final class CallReader {

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

	private static final Set<String> METHODS = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH");

	private static final int MAX_WORKSPACE_CHARS = 200;

	private final RouterLimits limits;

	CallReader(RouterLimits limits) {
		this.limits = limits;
	}

	/**
	 * Reads a model call.
	 * @throws BadInputException if it is not a valid call
	 */
	ModelCall readModelCall(Exchange exchange, byte[] body, Deployment deployment, long nowMillis) {
		JsonNode json = Json.tree(body);
		if (!json.isObject() || !json.path("model").isTextual() || !json.path("prompt").isTextual()) {
			throw new BadInputException(400, "a completion needs the texts 'model' and 'prompt'");
		}
		String service = json.path("model").asText();
		ServiceSpec serviceSpec = serviceSpec(deployment, service, ServiceKind.MODEL, body);
		String prompt = json.path("prompt").asText();
		String workspace = workspace(exchange);
		String affinity = workspace + "\n"
				+ prompt.substring(0, Math.min(prompt.length(), this.limits.affinityChars()));
		Call call = new Call(UUID.randomUUID().toString(), service, workspace, priority(exchange), body, null, true,
				affinity, deadlineMillis(exchange, serviceSpec, nowMillis));
		return new ModelCall(call, json.path("stream").asBoolean());
	}

	/**
	 * Reads a call of a plain service.
	 * @throws BadInputException if it is not a valid call
	 */
	Call readPlainCall(Exchange exchange, byte[] body, Deployment deployment, long nowMillis) {
		String[] pathParts = exchange.target().split("/", 4);
		if (pathParts.length < 4) {
			throw new BadInputException(400, "path must be /services/<service>/<path>");
		}
		if (!METHODS.contains(exchange.method())) {
			throw new BadInputException(405, "method is not supported");
		}
		ServiceSpec serviceSpec = serviceSpec(deployment, pathParts[2], ServiceKind.PLAIN, body);
		// A call with an idempotency key runs at most once, whatever its method.
		boolean retryable = exchange.header(Headers.IDEMPOTENCY_KEY) == null
				&& (IDEMPOTENT_METHODS.contains(exchange.method())
						|| exchange.optionalHeader(Headers.IDEMPOTENT).map(Boolean::parseBoolean).orElse(false));
		String requestId = requestId(exchange);
		return new Call(requestId, pathParts[2], workspace(exchange), priority(exchange), body,
				new Call.Target(exchange.method(), "/" + pathParts[3]), retryable, requestId,
				deadlineMillis(exchange, serviceSpec, nowMillis));
	}

	/**
	 * Returns a new request id. That of a keyed call begins with its key, so that all
	 * runs for a key can be found in the records of upstreams.
	 */
	private static String requestId(Exchange exchange) {
		String random = UUID.randomUUID().toString();
		return exchange.optionalHeader(Headers.IDEMPOTENCY_KEY)
			.filter((key) -> key.matches("[0-9a-f-]{36}"))
			.map((key) -> key + "." + random)
			.orElse(random);
	}

	private static ServiceSpec serviceSpec(Deployment deployment, String service, ServiceKind kind, byte[] body) {
		ServiceSpec serviceSpec = deployment.service(service)
			.filter((found) -> found.kind() == kind)
			.orElseThrow(() -> new BadInputException(404, "no such service"));
		if (body.length > serviceSpec.limits().bodyBytes()) {
			throw new BadInputException(413, "body exceeds " + serviceSpec.limits().bodyBytes() + " bytes");
		}
		return serviceSpec;
	}

	private static String workspace(Exchange exchange) {
		String workspace = exchange.optionalHeader(Headers.WORKSPACE).orElse("");
		if (workspace.length() > MAX_WORKSPACE_CHARS) {
			throw new BadInputException(400, "header " + Headers.WORKSPACE + " is too long");
		}
		return workspace;
	}

	private static int priority(Exchange exchange) {
		long priority = exchange.headerLong(Headers.PRIORITY, 5);
		if (priority < 0 || priority > 9) {
			throw new BadInputException(400, "header " + Headers.PRIORITY + " must be 0 to 9");
		}
		return (int) priority;
	}

	private static long deadlineMillis(Exchange exchange, ServiceSpec serviceSpec, long nowMillis) {
		long allowedMillis = exchange.headerLong(Headers.DEADLINE_MILLIS, serviceSpec.limits().deadlineMillis());
		if (allowedMillis <= 0) {
			throw new BadInputException(400, "header " + Headers.DEADLINE_MILLIS + " must be positive");
		}
		return nowMillis + Math.min(allowedMillis, serviceSpec.limits().deadlineMillis());
	}

	/**
	 * A model call and whether its answer is streamed.
	 */
	record ModelCall(Call call, boolean stream) {
	}

}
