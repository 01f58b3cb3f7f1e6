package org.jaywood.event;

import java.lang.System.Logger;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * Structured log of one process. Each record is one JSON line with the event number, the
 * filled template and the fields, so that a reader can search by number instead of by
 * text.
 */
public final class EventLog {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final Logger logger;

	private final String processName;

	public EventLog(String processName) {
		this.processName = processName;
		this.logger = System.getLogger("org.jaywood");
	}

	/**
	 * Writes one event.
	 * @param event the event
	 * @param fields alternating field names and values for the template
	 */
	public void log(Event event, @Nullable Object... fields) {
		if (!this.logger.isLoggable(event.level())) {
			return;
		}
		Map<String, Object> json = new LinkedHashMap<>();
		json.put("event", event.number());
		json.put("name", event.name());
		json.put("level", event.level().name());
		json.put("process", this.processName);
		String text = event.template();
		for (int i = 0; i + 1 < fields.length; i += 2) {
			String name = String.valueOf(fields[i]);
			String value = String.valueOf(fields[i + 1]);
			json.put(name, value);
			text = text.replace("{" + name + "}", value);
		}
		json.put("message", text);
		this.logger.log(event.level(), toLine(json));
	}

	private static String toLine(Map<String, Object> json) {
		try {
			return JSON.writeValueAsString(json);
		}
		catch (JsonProcessingException ex) {
			return String.valueOf(json);
		}
	}

}
