package org.jaywood.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads number fields of an object and checks their bounds. A number out of bounds makes
 * the object malformed; it is never truncated to fewer bits.
 */
final class NumberFields {

	/** Largest integer that all JSON parsers read exactly. */
	static final long MAX_EXACT_INTEGER = (1L << 53) - 1;

	private NumberFields() {
	}

	/**
	 * Returns a required integer from 0 to {@link #MAX_EXACT_INTEGER}.
	 */
	static long required(JsonNode node, String field) {
		return required(node, field, 0, MAX_EXACT_INTEGER);
	}

	/**
	 * Returns a required integer.
	 */
	static long required(JsonNode node, String field, long min, long max) {
		JsonNode value = node.path(field);
		if (!value.isIntegralNumber() || !value.canConvertToLong()) {
			throw new IllegalArgumentException(field + " is missing or not an integer: " + value);
		}
		return requireWithin(field, value.asLong(), min, max);
	}

	/**
	 * Returns an optional number without its fraction.
	 * @param defaultValue value if the field is missing or null
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
	 * Returns an optional 32-bit number without its fraction.
	 * @param defaultValue value if the field is missing or null
	 */
	static int optionalInt(JsonNode node, String field, int min, int max, int defaultValue) {
		return Math.toIntExact(optional(node, field, min, max, defaultValue));
	}

	/**
	 * Returns an optional number with its fraction.
	 * @param defaultValue value if the field is missing or null
	 */
	static double optionalDouble(JsonNode node, String field, double min, double max, double defaultValue) {
		JsonNode value = node.path(field);
		if (value.isMissingNode() || value.isNull()) {
			return defaultValue;
		}
		if (!value.isNumber()) {
			throw new IllegalArgumentException(field + " is not a number: " + value);
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
