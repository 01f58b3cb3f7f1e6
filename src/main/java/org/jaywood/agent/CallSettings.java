package org.jaywood.agent;

/**
 * Limits of the calls at an agent.
 *
 * @param tokenBytes memory that an engine needs for one token of a call
 * @param creditTimeoutMillis time without credit after which a call releases its permit
 * @param resumeWaitMillis longest wait of a resumed call for an engine that does not
 * serve
 * @param writeTimeoutMillis longest time of one write to a router
 * @param plainConcurrency calls in flight at a plain service at most
 * @param plainMemoryBytes memory that the calls in flight at a plain service may hold
 * @param plainBodyBytes largest answer of a plain service
 */
public record CallSettings(long tokenBytes, long creditTimeoutMillis, long resumeWaitMillis, long writeTimeoutMillis,
		int plainConcurrency, long plainMemoryBytes, int plainBodyBytes) {

	/**
	 * Wait of a resumed stream for its engine, just below the 10 s after which a router
	 * treats a silent stream as broken. With 2 s, 19 of 100 slow readers were cut because
	 * other calls held the engine's memory at that time.
	 */
	private static final long RESUME_WAIT_MILLIS = 9_000;

	/** Values that apply unless an option overrides them. */
	public static final CallSettings DEFAULT = new CallSettings(2_048, 500, RESUME_WAIT_MILLIS, 10_000, 64,
			32 * 1024 * 1024, 4 * 1024 * 1024);

}
