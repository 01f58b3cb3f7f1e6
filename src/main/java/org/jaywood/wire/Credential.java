package org.jaywood.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Shared secret of the processes. Two values are valid while the secret is being
 * replaced; the first one is sent. Values are compared in constant time.
 */
public final class Credential {

	private final List<byte[]> accepted;

	private final String outgoingValue;

	private Credential(List<String> values) {
		this.outgoingValue = values.getFirst();
		this.accepted = values.stream().map((value) -> value.getBytes(StandardCharsets.UTF_8)).toList();
	}

	/**
	 * Reads one or two values separated by a comma.
	 * @param setting the setting, or null or blank for no credential
	 * @return the credential, or null
	 */
	public static @Nullable Credential parse(@Nullable String setting) {
		if (setting == null || setting.isBlank()) {
			return null;
		}
		List<String> values = Arrays.stream(setting.split(",")).map(String::strip).toList();
		if (values.size() > 2 || values.stream().anyMatch(String::isEmpty)) {
			throw new BadInputException(400, "one or two non-empty credentials separated by a comma are allowed");
		}
		return new Credential(values);
	}

	public String outgoingValue() {
		return this.outgoingValue;
	}

	public boolean accepts(@Nullable String presented) {
		byte[] bytes = (presented != null) ? presented.getBytes(StandardCharsets.UTF_8) : new byte[0];
		boolean match = false;
		for (byte[] value : this.accepted) {
			match |= MessageDigest.isEqual(value, bytes);
		}
		return match;
	}

	@Override
	public String toString() {
		return "Credential[hidden]";
	}

}
