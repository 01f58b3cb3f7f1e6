package org.jaywood.platform;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decodes the header that lists the parts of a prompt, in the order of the prompt, as
 * comma-separated {@code ID:TOKENS} entries with a hexadecimal id.
 */
final class PromptPrefix {

	/** Parts that are read; the rest of a longer list is ignored. */
	static final int MAX_PARTS = 64;

	private static final Pattern ENTRY = Pattern.compile("0*([0-9a-f]{1,16}):\\d{1,9}");

	private PromptPrefix() {
	}

	/**
	 * Returns the ids of the parts that the prompt may share with others: all but the
	 * last one, which belongs to the request or its session. Ids are in lower case
	 * without leading zeros. Malformed entries are left out.
	 * @param values values of the header, one for each of its lines
	 */
	static Set<String> sharedParts(List<String> values) {
		String[] entries = String.join(",", values).split(",", MAX_PARTS + 2);
		Set<String> parts = new LinkedHashSet<>();
		Arrays.stream(entries)
			.limit(Math.min(MAX_PARTS, entries.length - 1))
			.map((entry) -> ENTRY.matcher(entry.strip().toLowerCase(Locale.ROOT)))
			.filter(Matcher::matches)
			.map((entry) -> entry.group(1))
			.forEach(parts::add);
		return parts;
	}

}
