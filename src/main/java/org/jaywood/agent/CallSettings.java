package org.jaywood.agent;

/**
 * Limits of the calls at an agent.
 *
 * @param tokenBytes memory that an engine needs for one token of a call
 * @param stallMillis time without credit after which a call gives up its engine
 * @param resumeWaitMillis longest wait of a resumed call for a place at the engine
 * @param writeTimeoutMillis longest time of one write to a router
 * @param plainConcurrency calls that a plain service takes at once
 * @param plainMemoryBytes bytes of calls that a plain service takes at once
 * @param plainBodyBytes largest answer of a plain service
 */
public record CallSettings(long tokenBytes, long stallMillis, long resumeWaitMillis, long writeTimeoutMillis,
		int plainConcurrency, long plainMemoryBytes, int plainBodyBytes) {

	/** Values used where no option sets others. */
	public static final CallSettings DEFAULT = new CallSettings(2_048, 500, 2_000, 10_000, 64, 32 * 1024 * 1024,
			4 * 1024 * 1024);

}
