package org.jaywood.routing;

import java.util.List;

/**
 * Message: what gateways and agents tell each other about parts of prompts that may crash
 * engines.
 *
 * @param crashes calls under which engines ended
 * @param sound parts among those of the calls that proved to be sound
 */
public record EvidenceMessage(List<CrashRecord> crashes, List<SoundRecord> sound) {

	/** Nothing to tell. */
	public static final EvidenceMessage EMPTY = new EvidenceMessage(List.of(), List.of());

	/**
	 * Creates a message. What it lacks is empty.
	 */
	public EvidenceMessage {
		crashes = (crashes != null) ? List.copyOf(crashes) : List.of();
		sound = (sound != null) ? List.copyOf(sound) : List.of();
	}

	public boolean empty() {
		return this.crashes.isEmpty() && this.sound.isEmpty();
	}

}
