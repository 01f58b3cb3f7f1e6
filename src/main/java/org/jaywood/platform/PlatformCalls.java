package org.jaywood.platform;

import java.util.Arrays;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.gateway.AttemptHeaders;
import org.jaywood.gateway.CallHead;
import org.jaywood.gateway.CallProtocol;
import org.jaywood.gateway.ResponseHead;
import org.jaywood.routing.CallCost;

/**
 * Headers of the platform that carry call metadata between callers, gateways and
 * upstreams.
 */
public final class PlatformCalls implements CallProtocol {

	/** Id of one attempt of a caller; each retry by the caller has a new one. */
	private static final String ATTEMPT_ID = "X-Attempt-Id";

	/** Remaining time in milliseconds, counted from the time of sending. */
	private static final String DEADLINE = "X-Deadline-Ms";

	private static final String EXPECT_INSTANCE = "X-Expect-Instance";

	private static final String EXPECT_VERSION = "X-Expect-Version";

	private static final String TENANT = "X-Tenant";

	private static final String PRIORITY = "X-Request-Priority";

	private static final String LAST_EVENT_ID = "Last-Event-Id";

	/** Parts of the prompt, of which the last one belongs to the request itself. */
	private static final String PROMPT_PREFIX = "X-Prompt-Prefix";

	/** Tokens of the prompt and most tokens of the answer, separated by a comma. */
	private static final String TOKEN_USAGE = "X-Token-Usage";

	private static final Pattern TOKEN_USAGE_VALUE = Pattern.compile("(\\d{1,8}),(\\d{1,8})");

	private static final String NOT_EXECUTED = "X-Not-Executed";

	private static final String RESPONSE_SIGNATURE = "X-Response-Seal";

	private static final String BEARER = "Bearer ";

	private static final Set<String> GATEWAY_HEADERS = Set.of(DEADLINE.toLowerCase(Locale.ROOT),
			EXPECT_INSTANCE.toLowerCase(Locale.ROOT), EXPECT_VERSION.toLowerCase(Locale.ROOT),
			TENANT.toLowerCase(Locale.ROOT), PRIORITY.toLowerCase(Locale.ROOT));

	private static final double MILLIS_PER_SECOND = 1_000;

	@Override
	public CallHead read(ClassicHttpRequest request) {
		String id = headerValue(request, ATTEMPT_ID);
		return new CallHead((id != null) ? id : "", bearerKey(request), parseMillis(headerValue(request, DEADLINE)),
				cost(headerValue(request, TOKEN_USAGE)), sharedParts(request), headerValue(request, LAST_EVENT_ID));
	}

	@Override
	public boolean forwards(String name, boolean keysRequired) {
		if (name.equalsIgnoreCase(HttpHeaders.AUTHORIZATION)) {
			return !keysRequired;
		}
		return !GATEWAY_HEADERS.contains(name.toLowerCase(Locale.ROOT));
	}

	@Override
	public boolean returns(String name) {
		return !EngineNotice.isNotice(name);
	}

	@Override
	public void write(ClassicHttpRequest request, AttemptHeaders head) {
		request.setHeader(DEADLINE, Long.toString(head.remainingMillis()));
		request.setHeader(EXPECT_INSTANCE, head.upstreamId());
		request.setHeader(PRIORITY, Integer.toString(head.queuePriority()));
		head.requiredVersion().ifPresent((version) -> request.setHeader(EXPECT_VERSION, Long.toString(version)));
		if (head.workspace() != null) {
			request.setHeader(TENANT, head.workspace());
		}
		if (head.lastEventId() != null) {
			request.setHeader(LAST_EVENT_ID, head.lastEventId());
		}
	}

	@Override
	public ResponseHead read(ClassicHttpResponse response) {
		boolean misdirected = response.getCode() == HttpStatus.SC_MISDIRECTED_REQUEST;
		boolean notRun = misdirected || (response.containsHeader(NOT_EXECUTED) && !success(response));
		EngineNotice notice = EngineNotice.read(response);
		return new ResponseHead(headerValue(response, ATTEMPT_ID), notRun, misdirected, notice.leaving(),
				notice.pauseMillis(), notice.limit(), notice.problem(), invalidSuccess(response));
	}

	/**
	 * Returns why a success cannot be the answer of an engine: each bears one signature,
	 * none states that the call has not run, and no body is encoded, since no request
	 * allows it.
	 */
	private static @Nullable String invalidSuccess(ClassicHttpResponse response) {
		if (!success(response)) {
			return null;
		}
		if (response.containsHeader(NOT_EXECUTED)) {
			return "a success that states that the call has not run";
		}
		String signature = headerValue(response, RESPONSE_SIGNATURE);
		if (signature == null || signature.isBlank() || response.countHeaders(RESPONSE_SIGNATURE) > 1) {
			return "a success without the signature of an engine";
		}
		return response.containsHeader(HttpHeaders.CONTENT_ENCODING) ? "a success with an encoded body" : null;
	}

	private static boolean success(ClassicHttpResponse response) {
		return response.getCode() >= HttpStatus.SC_OK && response.getCode() < HttpStatus.SC_REDIRECTION;
	}

	@Override
	public void writeRetryAfter(ClassicHttpResponse response, long millis) {
		response.setHeader(HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND));
	}

	private static Set<String> sharedParts(ClassicHttpRequest request) {
		Header[] lines = request.getHeaders(PROMPT_PREFIX);
		return PromptPrefix.sharedParts(Arrays.stream(lines).map(Header::getValue).toList());
	}

	private static CallCost cost(@Nullable String tokenUsage) {
		Matcher matcher = TOKEN_USAGE_VALUE.matcher((tokenUsage != null) ? tokenUsage : "");
		return matcher.matches() ? new CallCost(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)))
				: CallCost.UNKNOWN;
	}

	private static @Nullable String bearerKey(ClassicHttpRequest request) {
		String authorization = headerValue(request, HttpHeaders.AUTHORIZATION);
		boolean bearer = authorization != null && authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
		return (authorization != null && bearer) ? authorization.substring(BEARER.length()).strip() : null;
	}

	private static @Nullable String headerValue(HttpMessage message, String name) {
		Header header = message.getFirstHeader(name);
		return (header != null) ? header.getValue() : null;
	}

	private static OptionalLong parseMillis(@Nullable String text) {
		boolean valid = text != null && text.matches("\\d{1,9}");
		return (text != null && valid) ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
	}

}
