package org.jaywood.gateway;

import org.jspecify.annotations.Nullable;

import org.jaywood.http.BufferedRequest;

/**
 * Request that a connection has in hand, from its first bytes to the end of its response.
 * Safe for use by several threads.
 */
final class CallerRequest {

	private final long sinceMillis;

	private final Cancellation cancellation = new Cancellation();

	private volatile @Nullable BufferedRequest content;

	/**
	 * Creates a request that is being read.
	 * @param sinceMillis boot time at which its first bytes were read
	 */
	CallerRequest(long sinceMillis) {
		this.sinceMillis = sinceMillis;
	}

	/**
	 * Records that the request was read whole.
	 */
	void onRead(BufferedRequest request) {
		this.content = request;
	}

	/**
	 * Returns the request, or null if it was not read whole.
	 */
	@Nullable BufferedRequest content() {
		return this.content;
	}

	Cancellation cancellation() {
		return this.cancellation;
	}

	long ageMillis(long nowMillis) {
		return nowMillis - this.sinceMillis;
	}

	RequestStage stage() {
		if (this.cancellation.sent()) {
			return RequestStage.SENT;
		}
		return (this.content != null) ? RequestStage.READ : RequestStage.READING;
	}

}
