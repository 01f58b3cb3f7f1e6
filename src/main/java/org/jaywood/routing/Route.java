package org.jaywood.routing;

import java.util.List;
import java.util.Set;

/**
 * Rule for the calls of one host below one path.
 *
 * @param name name of the route
 * @param host host that callers name
 * @param pathPrefix prefix of the path, which begins and ends with a slash
 * @param policy whether a call may run more than once
 * @param timeoutMillis longest time until the final answer
 * @param targetMillis time within which an answer, or the first event of a stream, is on
 * time
 * @param priority priority of its calls, 0 first
 * @param shares services that run its calls
 * @param maxAttempts number of upstreams to which one call may be sent
 * @param keyless whether calls need no key
 * @param regions regions in which its calls may run, or empty for all
 */
public record Route(String name, String host, String pathPrefix, RetryPolicy policy, long timeoutMillis,
		long targetMillis, int priority, List<ServiceShare> shares, int maxAttempts, boolean keyless,
		Set<String> regions) {

	/**
	 * Returns the service that runs a call, which is always the same for one call.
	 * @param callId id of the call
	 */
	public String serviceFor(String callId) {
		int total = this.shares.stream().mapToInt(ServiceShare::weight).sum();
		int point = Math.floorMod(mix(callId.hashCode()), Math.max(1, total));
		for (ServiceShare share : this.shares) {
			point -= share.weight();
			if (point < 0) {
				return share.service();
			}
		}
		return this.shares.getLast().service();
	}

	/** Spreads the bits of a hash whose low bits depend on few characters. */
	private static int mix(int hash) {
		int mixed = hash * 0x9E3779B9;
		return mixed ^ (mixed >>> 16);
	}

}
