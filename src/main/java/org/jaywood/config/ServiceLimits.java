package org.jaywood.config;

/**
 * Limits of a service.
 *
 * @param surge number of upstreams of the service that may be loading weights, or be cold
 * because of a load order, at the same time
 * @param deadlineMillis longest time of a call, in milliseconds
 * @param bodyBytes largest request body, in bytes
 */
public record ServiceLimits(int surge, long deadlineMillis, int bodyBytes) {

	/** Limits of a service that declares none. */
	public static final ServiceLimits DEFAULT = new ServiceLimits(1, 60_000, 1_048_576);

}
