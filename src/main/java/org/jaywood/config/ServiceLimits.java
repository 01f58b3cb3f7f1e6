package org.jaywood.config;

/**
 * Limits of a service.
 *
 * @param surge upstreams of the service that may be loading or cold on order at once
 * @param deadlineMillis longest time of a call
 * @param bodyBytes largest request body
 */
public record ServiceLimits(int surge, long deadlineMillis, int bodyBytes) {

	/** Limits of a service that declares none. */
	public static final ServiceLimits DEFAULT = new ServiceLimits(1, 60_000, 1_048_576);

}
