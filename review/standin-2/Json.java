import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Small reader and writer of JSON, so that the stand-ins need no library. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		Json json = new Json(text);
		return json.value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) read(text);
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		switch (value) {
			case null -> out.append("null");
			case String string -> {
				out.append('"');
				for (char c : string.toCharArray()) {
					if (c == '"' || c == '\\') {
						out.append('\\');
					}
					out.append(c);
				}
				out.append('"');
			}
			case Map<?, ?> map -> {
				out.append('{');
				String separator = "";
				for (Map.Entry<?, ?> entry : map.entrySet()) {
					out.append(separator);
					write(entry.getKey().toString(), out);
					out.append(':');
					write(entry.getValue(), out);
					separator = ",";
				}
				out.append('}');
			}
			case List<?> list -> {
				out.append('[');
				String separator = "";
				for (Object item : list) {
					out.append(separator);
					write(item, out);
					separator = ",";
				}
				out.append(']');
			}
			default -> out.append(value);
		}
	}

	private void space() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	private Object value() {
		space();
		char c = this.text.charAt(this.at);
		return switch (c) {
			case '{' -> map();
			case '[' -> list();
			case '"' -> string();
			default -> literal();
		};
	}

	private Map<String, Object> map() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.at++;
		space();
		while (this.text.charAt(this.at) != '}') {
			String key = string();
			space();
			this.at++;
			map.put(key, value());
			space();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				space();
			}
		}
		this.at++;
		return map;
	}

	private List<Object> list() {
		List<Object> list = new ArrayList<>();
		this.at++;
		space();
		while (this.text.charAt(this.at) != ']') {
			list.add(value());
			space();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				space();
			}
		}
		this.at++;
		return list;
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			if (this.text.charAt(this.at) == '\\') {
				this.at++;
			}
			out.append(this.text.charAt(this.at++));
		}
		this.at++;
		return out.toString();
	}

	private Object literal() {
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		};
	}

}
