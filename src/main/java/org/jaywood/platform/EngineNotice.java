package org.jaywood.platform;

import java.util.Arrays;
import java.util.OptionalLong;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/**
 * What an engine says about itself in the headers of a response.
 *
 * @param leaving whether it leaves
 * @param pauseMillis time for which it wants no calls, or empty
 * @param problem why a header was ignored or changed, or null
 */
record EngineNotice(boolean leaving, OptionalLong pauseMillis, @Nullable String problem) {

	private static final String LEAVING = "Server-Leaving";

	private static final String LEAVING_VALUE = "1";

	/**
	 * Seconds, with fractions; more digits than any reasonable value has are malformed.
	 */
	private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final int MAX_PROBLEM_CHARS = 80;

	/**
	 * Whether a header is meant for gateways only.
	 */
	static boolean isNotice(String name) {
		return name.equalsIgnoreCase(LEAVING) || name.equalsIgnoreCase(HttpHeaders.RETRY_AFTER);
	}

	static EngineNotice read(ClassicHttpResponse response) {
		Header[] leaving = response.getHeaders(LEAVING);
		boolean leaves = Arrays.stream(leaving).anyMatch((header) -> LEAVING_VALUE.equals(value(header)));
		String leavingProblem = Arrays.stream(leaving)
			.filter((header) -> !LEAVING_VALUE.equals(value(header)))
			.findFirst()
			.map(EngineNotice::describe)
			.orElse(null);
		if (response.getCode() != HttpStatus.SC_SERVICE_UNAVAILABLE) {
			return new EngineNotice(leaves, OptionalLong.empty(), leavingProblem);
		}
		Header[] pauses = response.getHeaders(HttpHeaders.RETRY_AFTER);
		return new EngineNotice(leaves, longestPauseMillis(pauses),
				(leavingProblem != null) ? leavingProblem : pauseProblem(pauses));
	}

	/**
	 * Returns the longest of the valid values: if there are several, the engine may mean
	 * any of them.
	 */
	private static OptionalLong longestPauseMillis(Header[] pauses) {
		return Arrays.stream(pauses)
			.map(EngineNotice::value)
			.filter((value) -> SECONDS.matcher(value).matches())
			.mapToLong((value) -> Math.round(Double.parseDouble(value) * MILLIS_PER_SECOND))
			.max();
	}

	private static @Nullable String pauseProblem(Header[] pauses) {
		boolean valid = Arrays.stream(pauses).allMatch((header) -> SECONDS.matcher(value(header)).matches());
		return (valid && pauses.length <= 1) ? null : describe(pauses[pauses.length - 1]);
	}

	private static String describe(Header header) {
		String text = header.getName() + ": " + value(header);
		return text.substring(0, Math.min(text.length(), MAX_PROBLEM_CHARS));
	}

	private static String value(Header header) {
		return String.valueOf(header.getValue()).strip();
	}

}
