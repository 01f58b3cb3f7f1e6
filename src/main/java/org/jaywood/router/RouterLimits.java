package org.jaywood.router;

/**
 * Limits of a router.
 *
 * @param subsetSize largest number of upstreams of a service and tier (own data centre,
 * own region, other regions) that this router uses
 * @param affinityChars length of the prompt prefix that determines the preferred upstream
 * @param regionBytesPerSecond bytes per second of calls that may cross region links
 * @param retryRatio retries allowed per call
 * @param retryFloorPerSecond retries per second allowed even without traffic
 * @param maxAnswerBytes largest answer that is buffered
 * @param maxBodyBytes largest request body
 * @param frameIdleMillis longest time without bytes of a model stream
 * @param callerMemoryBytes memory that may be reserved for all callers
 * @param writeStallMillis longest time that a caller may block a write
 * @param bodyReadTimeoutMillis time that a caller has to send a body
 * @param agentWindowBytes credit granted to an agent beyond the bytes that the caller has
 * taken
 * @param maxQueuedCalls largest number of queued calls of a service
 * @param maxQueueMillis longest wait of a call in the queue
 */
record RouterLimits(int subsetSize, int affinityChars, long regionBytesPerSecond, double retryRatio,
		double retryFloorPerSecond, int maxAnswerBytes, int maxBodyBytes, long frameIdleMillis, long callerMemoryBytes,
		long writeStallMillis, long bodyReadTimeoutMillis, int agentWindowBytes, int maxQueuedCalls,
		long maxQueueMillis) {

	/** Leaves more than 0.7 MB/s of a region link of 14 Mbit/s to other traffic. */
	static final RouterLimits DEFAULT = new RouterLimits(32, 256, 1_000_000, 0.2, 2, 4 * 1024 * 1024, 1024 * 1024,
			10_000, 24 * 1024 * 1024, 30_000, 10_000, 8 * 1024, 1_024, 5_000);

}
