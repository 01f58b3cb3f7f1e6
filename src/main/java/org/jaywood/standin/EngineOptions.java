package org.jaywood.standin;

/**
 * Behaviour of an engine stand-in.
 *
 * @param tokenMillis time of each token of an idle engine
 * @param coldLimit calls that it can hold while cold; one more makes it crash
 * @param maxConcurrency calls that it can hold while warm; it refuses more
 * @param memoryBytes memory for its calls; a byte more makes it crash
 * @param warmAfter calls that it must complete to become warm
 */
public record EngineOptions(long tokenMillis, int coldLimit, int maxConcurrency, long memoryBytes, int warmAfter) {

	/** Options that the programs use where no flag sets others. */
	public static final EngineOptions DEFAULT = new EngineOptions(5, 2, 64, 64 * 1024 * 1024, 4);

}
