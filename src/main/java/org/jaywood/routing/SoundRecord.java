package org.jaywood.routing;

import java.util.Objects;

/**
 * Message: an engine answered a call whose prompt has a part, and did not end.
 *
 * @param part id of the part
 * @param ageMillis time since then, without the time that messages were in transit
 */
public record SoundRecord(String part, long ageMillis) {

	/**
	 * Creates a record. What a message lacks is empty.
	 */
	public SoundRecord {
		part = Objects.requireNonNullElse(part, "");
	}

}
