package org.jaywood.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON encoding and decoding shared by all processes, with limits on the depth and string
 * length of what is read.
 */
public final class Json {

	private static final int MAX_DEPTH = 32;

	private static final int MAX_STRING_CHARS = 4 * 1024 * 1024;

	private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
		.streamReadConstraints(
				StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).maxStringLength(MAX_STRING_CHARS).build())
		.build())
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
		.configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true)
		.defaultPropertyInclusion(
				JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
		.build();

	private static final ObjectReader TREE_READER = MAPPER.readerFor(JsonNode.class)
		.with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private Json() {
	}

	public static ObjectMapper mapper() {
		return MAPPER;
	}

	public static byte[] bytes(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new WireException("cannot write JSON", ex);
		}
	}

	public static String text(Object value) {
		return new String(bytes(value), StandardCharsets.UTF_8);
	}

	public static <T> T read(byte[] bytes, Class<T> type) {
		try {
			T value = MAPPER.readValue(bytes, type);
			if (value == null) {
				throw new BadInputException(400, "empty JSON document");
			}
			return value;
		}
		catch (IOException ex) {
			throw new BadInputException(400, "malformed JSON: " + firstLine(ex));
		}
	}

	public static <T> T read(String text, Class<T> type) {
		return read(text.getBytes(StandardCharsets.UTF_8), type);
	}

	public static JsonNode tree(byte[] bytes) {
		return read(bytes, JsonNode.class);
	}

	/**
	 * Reads a part of a text that must contain exactly one value.
	 * @throws BadInputException if it does not
	 */
	static JsonNode tree(byte[] bytes, int start, int length) {
		try {
			JsonNode value = TREE_READER.readValue(bytes, start, length);
			if (value == null || value.isMissingNode()) {
				throw new BadInputException(400, "empty JSON document");
			}
			return value;
		}
		catch (IOException ex) {
			throw new BadInputException(400, "malformed JSON: " + firstLine(ex));
		}
	}

	private static String firstLine(IOException ex) {
		String message = String.valueOf(ex.getMessage());
		return message.lines().findFirst().orElse("unreadable");
	}

}
