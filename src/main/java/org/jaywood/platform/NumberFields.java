package org.jaywood.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Numbers of an object, each within bounds. A number out of its bounds is an error of the
 * object; it is never cut to fewer bits.
 */
final class NumberFields {

	/** Largest whole number that all readers of JSON take exactly. */
	static final long MAX_EXACT_INTEGER = (1L << 53) - 1;

	private NumberFields() {
	}

	/**
	 * A whole number that has to be there, from 0 to {@link #MAX_EXACT_INTEGER}.
	 */
	static long required(JsonNode node, String field) {
		return required(node, field, 0, MAX_EXACT_INTEGER);
	}

	/**
	 * A whole number that has to be there.
	 */
	static long required(JsonNode node, String field, long min, long max) {
		JsonNode value = node.path(field);
		if (!value.isIntegralNumber() || !value.canConvertToLong()) {
			throw new IllegalArgumentException(field + " is missing or not a whole number");
		}
		return requireWithin(field, value.asLong(), min, max);
	}

	/**
	 * A number that may be left out; a fraction is dropped.
	 * @param defaultValue its value if it is left out
	 */
	static long optional(JsonNode node, String field, long min, long max, long defaultValue) {
		JsonNode value = node.path(field);
		if (value.isMissingNode() || value.isNull()) {
			return defaultValue;
		}
		return value.isIntegralNumber() ? required(node, field, min, max)
				: (long) optionalDouble(node, field, min, max, defaultValue);
	}

	/**
	 * A whole number of 32 bits that may be left out; a fraction is dropped.
	 * @param defaultValue its value if it is left out
	 */
	static int optionalInt(JsonNode node, String field, int min, int max, int defaultValue) {
		return Math.toIntExact(optional(node, field, min, max, defaultValue));
	}

	/**
	 * A number with a fraction that may be left out.
	 * @param defaultValue its value if it is left out
	 */
	static double optionalDouble(JsonNode node, String field, double min, double max, double defaultValue) {
		JsonNode value = node.path(field);
		if (value.isMissingNode() || value.isNull()) {
			return defaultValue;
		}
		if (!value.isNumber()) {
			throw new IllegalArgumentException(field + " is not a number");
		}
		double number = value.asDouble();
		if (!(number >= min && number <= max)) {
			throw outOfBounds(field, min, max);
		}
		return number;
	}

	private static long requireWithin(String field, long number, long min, long max) {
		if (number < min || number > max) {
			throw outOfBounds(field, min, max);
		}
		return number;
	}

	private static IllegalArgumentException outOfBounds(String field, Object min, Object max) {
		return new IllegalArgumentException(field + " is not from " + min + " to " + max);
	}

}
