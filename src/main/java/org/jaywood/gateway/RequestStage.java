package org.jaywood.gateway;

import java.util.Locale;

/**
 * How far a request that has no complete response has come, for the log.
 */
enum RequestStage {

	/** Bytes have arrived of which nothing was read. */
	UNREAD,

	/** It is being read. */
	READING,

	/** It was read whole and has not been sent to an upstream. */
	READ,

	/** It has been sent to an upstream, at least in part. */
	SENT;

	/**
	 * Returns the name for log fields.
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
