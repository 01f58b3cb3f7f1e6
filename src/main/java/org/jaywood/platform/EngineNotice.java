package org.jaywood.platform;

import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.routing.LimitNotice;

/**
 * What an engine says about itself in the headers of a response.
 *
 * @param leaving whether it leaves
 * @param pauseMillis time for which it wants no calls, or empty
 * @param limit what it says about the calls a second that it takes from all gateways
 * together
 * @param problem why a header was ignored or changed, or null
 */
record EngineNotice(boolean leaving, OptionalLong pauseMillis, LimitNotice limit, @Nullable String problem) {

	private static final String LEAVING = "Server-Leaving";

	private static final String LEAVING_VALUE = "1";

	private static final String LIMIT = "Server-Limit";

	/**
	 * Number with fractions; more digits than any reasonable value has are malformed.
	 */
	private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final int MAX_PROBLEM_CHARS = 80;

	/**
	 * Whether a header is meant for gateways only.
	 */
	static boolean isNotice(String name) {
		return name.equalsIgnoreCase(LEAVING) || name.equalsIgnoreCase(LIMIT)
				|| name.equalsIgnoreCase(HttpHeaders.RETRY_AFTER);
	}

	static EngineNotice read(ClassicHttpResponse response) {
		Header[] leaving = response.getHeaders(LEAVING);
		boolean leaves = Arrays.stream(leaving).anyMatch((header) -> LEAVING_VALUE.equals(value(header)));
		boolean mayPause = response.getCode() == HttpStatus.SC_SERVICE_UNAVAILABLE;
		Header[] pauses = mayPause ? response.getHeaders(HttpHeaders.RETRY_AFTER) : new Header[0];
		Header[] limits = response.getHeaders(LIMIT);
		String problem = Stream.of(leavingProblem(leaving), numberProblem(pauses), numberProblem(limits))
			.flatMap(Optional::stream)
			.findFirst()
			.orElse(null);
		return new EngineNotice(leaves, longestPauseMillis(pauses), strictestLimit(limits), problem);
	}

	private static Optional<String> leavingProblem(Header[] leaving) {
		return Arrays.stream(leaving)
			.filter((header) -> !LEAVING_VALUE.equals(value(header)))
			.findFirst()
			.map(EngineNotice::describe);
	}

	/**
	 * Returns the lowest of the valid values: if there are several, the engine may mean
	 * any of them.
	 */
	private static LimitNotice strictestLimit(Header[] limits) {
		if (limits.length == 0) {
			return new LimitNotice.None();
		}
		return Arrays.stream(limits)
			.map(EngineNotice::value)
			.filter((value) -> DECIMAL.matcher(value).matches())
			.map(Double::valueOf)
			.min(Double::compare)
			.<LimitNotice>map(LimitNotice.Limited::new)
			.orElseGet(LimitNotice.Unreadable::new);
	}

	/**
	 * Returns the longest of the valid values: if there are several, the engine may mean
	 * any of them.
	 */
	private static OptionalLong longestPauseMillis(Header[] pauses) {
		return Arrays.stream(pauses)
			.map(EngineNotice::value)
			.filter((value) -> DECIMAL.matcher(value).matches())
			.mapToLong((value) -> Math.round(Double.parseDouble(value) * MILLIS_PER_SECOND))
			.max();
	}

	private static Optional<String> numberProblem(Header[] headers) {
		boolean valid = Arrays.stream(headers).allMatch((header) -> DECIMAL.matcher(value(header)).matches());
		return (valid && headers.length <= 1) ? Optional.empty() : Optional.of(describe(headers[headers.length - 1]));
	}

	private static String describe(Header header) {
		String text = header.getName() + ": " + value(header);
		return text.substring(0, Math.min(text.length(), MAX_PROBLEM_CHARS));
	}

	private static String value(Header header) {
		return String.valueOf(header.getValue()).strip();
	}

}
