package org.jaywood.router;

/**
 * Limits of a router.
 *
 * @param subsetSize upstreams of a service and ring that this router uses
 * @param affinityChars length of the prompt prefix that chooses the upstream
 * @param regionBytesPerSecond bytes of calls that may cross region links
 * @param retryRatio retries allowed for each call
 * @param retryFloorPerSecond retries allowed without traffic
 * @param maxAnswerBytes largest answer that is held whole
 * @param maxBodyBytes largest request body
 * @param frameIdleMillis longest pause between two frames of a model stream
 * @param callerMemoryBytes bytes held for all callers
 * @param writeStallMillis longest time that a caller may block a write
 * @param bodyReadTimeoutMillis time that a caller has to send a body
 * @param agentWindowBytes bytes granted to an agent beyond what the caller took
 * @param maxQueuedCalls calls of a service that may wait for room at an upstream
 * @param maxQueueMillis longest wait of a call for room
 */
record RouterLimits(int subsetSize, int affinityChars, long regionBytesPerSecond, double retryRatio,
		double retryFloorPerSecond, int maxAnswerBytes, int maxBodyBytes, long frameIdleMillis, long callerMemoryBytes,
		long writeStallMillis, long bodyReadTimeoutMillis, int agentWindowBytes, int maxQueuedCalls,
		long maxQueueMillis) {

	/** Leaves more than 0.7 MB/s of a region link of 14 Mbit/s to other traffic. */
	static final RouterLimits DEFAULT = new RouterLimits(32, 256, 1_000_000, 0.2, 2, 4 * 1024 * 1024, 1024 * 1024,
			10_000, 24 * 1024 * 1024, 30_000, 10_000, 8 * 1024, 1_024, 5_000);

}
