package org.jaywood.http;

import org.jspecify.annotations.Nullable;

/**
 * How the connections of a pool are opened and kept.
 *
 * @param localHost local IP address, or null for any
 * @param keepAliveMillis keep-alive time of a process that announces none
 */
public record ConnectionOptions(@Nullable String localHost, long keepAliveMillis) {

	/** Any local address, and a time that most servers exceed. */
	static final ConnectionOptions DEFAULT = new ConnectionOptions(null, 4_000);

}
