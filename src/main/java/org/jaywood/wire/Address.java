package org.jaywood.wire;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * IPv4 address and port of a process, written {@code ip:port}.
 *
 * @param host IPv4 address of four decimal parts, so that no host name is ever looked up
 * @param port TCP port, 0 to 65535 (0 lets the system choose when listening)
 */
public record Address(String host, int port) implements Comparable<Address> {

	private static final int MAX_PORT = 65_535;

	private static final String DECIMAL_PART = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

	private static final Pattern HOST = Pattern.compile("(?:" + DECIMAL_PART + "\\.){3}" + DECIMAL_PART);

	private static final Pattern ADDRESS = Pattern.compile("([0-9.]+):([0-9]{1,5})");

	public Address {
		if (!HOST.matcher(host).matches() || port < 0 || port > MAX_PORT) {
			throw malformed(host + ":" + port);
		}
	}

	@JsonCreator
	public static Address parse(String text) {
		Matcher parts = ADDRESS.matcher(text);
		if (!parts.matches()) {
			throw malformed(text);
		}
		return new Address(parts.group(1), Integer.parseInt(parts.group(2)));
	}

	private static BadInputException malformed(String text) {
		return new BadInputException(400, "not an address of the form ip:port: " + text);
	}

	public InetSocketAddress socketAddress() {
		return new InetSocketAddress(this.host, this.port);
	}

	public URI uri(String path) {
		return URI.create("http://" + this + path);
	}

	@Override
	public int compareTo(Address other) {
		return toString().compareTo(other.toString());
	}

	@Override
	@JsonValue
	public String toString() {
		return this.host + ":" + this.port;
	}

}
