package org.jaywood.agent;

/**
 * Limits of the calls at an agent.
 *
 * @param tokenBytes memory that an engine needs for one token of a call
 * @param creditTimeoutMillis time without credit after which a call gives up its engine
 * @param resumeWaitMillis longest wait of a resumed call for a place at the engine
 * @param writeTimeoutMillis longest time of one write to a router
 * @param plainConcurrency calls that a plain service takes at once
 * @param plainMemoryBytes bytes of calls that a plain service takes at once
 * @param plainBodyBytes largest answer of a plain service
 */
public record CallSettings(long tokenBytes, long creditTimeoutMillis, long resumeWaitMillis, long writeTimeoutMillis,
		int plainConcurrency, long plainMemoryBytes, int plainBodyBytes) {

	/**
	 * Wait for a place of a stream that comes back to its engine, just below the 10 s
	 * after which a router takes a silent stream for broken. With 2 s, 19 of 100 slow
	 * readers were cut because engine memory was taken by others at that moment.
	 */
	private static final long RESUME_WAIT_MILLIS = 9_000;

	/** Values used where no option sets others. */
	public static final CallSettings DEFAULT = new CallSettings(2_048, 500, RESUME_WAIT_MILLIS, 10_000, 64,
			32 * 1024 * 1024, 4 * 1024 * 1024);

}
