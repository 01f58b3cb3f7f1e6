package review;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * JSON bodies of the stand-ins.
 */
final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	static byte[] bytes(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static JsonNode tree(byte[] bytes) {
		try {
			return MAPPER.readTree(bytes);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
