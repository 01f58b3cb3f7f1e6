package org.jaywood.standin;

/**
 * Behaviour of an engine stand-in.
 *
 * @param tokenMillis time per token of an idle warm engine
 * @param coldLimit calls in flight that it can run while cold; one more makes it crash
 * @param maxConcurrency calls in flight that it can run while warm; it refuses more
 * @param memoryBytes memory for its calls; it crashes when they need more
 * @param warmAfter calls that it must complete to become warm
 */
public record EngineOptions(long tokenMillis, int coldLimit, int maxConcurrency, long memoryBytes, int warmAfter) {

	/** Options of the programs unless flags set others. */
	public static final EngineOptions DEFAULT = new EngineOptions(5, 2, 64, 64 * 1024 * 1024, 4);

}
