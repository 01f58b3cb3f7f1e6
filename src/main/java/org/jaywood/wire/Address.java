package org.jaywood.wire;

import java.net.InetSocketAddress;
import java.net.URI;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * IP number and port of a process, written {@code ip:port}.
 *
 * @param host IP number
 * @param port TCP port, 0 to 65535 (0 lets the system choose when listening)
 */
public record Address(String host, int port) implements Comparable<Address> {

	public Address {
		if (!host.matches("[0-9.]+") || port < 0 || port > 65535) {
			throw new BadInputException(400, "not an address of the form ip:port: " + host + ":" + port);
		}
	}

	@JsonCreator
	public static Address parse(String text) {
		int colon = text.lastIndexOf(':');
		try {
			if (colon > 0) {
				return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
			}
		}
		catch (NumberFormatException ex) {
			// Reported below with the whole text.
		}
		throw new BadInputException(400, "not an address of the form ip:port: " + text);
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
