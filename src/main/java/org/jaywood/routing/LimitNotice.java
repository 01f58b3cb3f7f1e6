package org.jaywood.routing;

/**
 * What a response of an upstream says about the calls that it takes from all gateways
 * together.
 */
public sealed interface LimitNotice {

	/**
	 * The response names no limit.
	 */
	record None() implements LimitNotice {
	}

	/**
	 * The response names a limit with a value that is not understood, which says nothing.
	 */
	record Unreadable() implements LimitNotice {
	}

	/**
	 * The response names a limit.
	 *
	 * @param callsPerSecond calls a second from all gateways together, 0 or more
	 */
	record Limited(double callsPerSecond) implements LimitNotice {
	}

}
