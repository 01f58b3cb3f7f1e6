package org.jaywood.http;

import org.jspecify.annotations.Nullable;

/**
 * How the connections of a pool are opened and kept.
 *
 * @param localHost local IP address, or null for any
 * @param keepAliveMillis keep-alive time of a process that announces none
 */
public record ConnectionOptions(@Nullable String localHost, long keepAliveMillis) {

	/** Less than most servers keep an idle connection. */
	private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

	static final ConnectionOptions DEFAULT = new ConnectionOptions(null, DEFAULT_KEEP_ALIVE_MILLIS);

}
