package org.jaywood.bench;

import java.time.Duration;
import java.util.List;

import org.jaywood.wire.Address;

/**
 * Settings of a {@link LoadGenerator}.
 *
 * @param callers caller ports, used in turn
 * @param service model service that is called
 * @param ratePerSecond mean rate of calls that arrive whether or not earlier ones have
 * ended (open loop), or 0 for {@code concurrency} callers that each wait for their answer
 * (closed loop)
 * @param concurrency highest number of concurrent calls
 * @param tokens tokens of each answer
 * @param streamedShare share of the calls whose answer is streamed
 * @param timeout time-out of a call
 * @param seed seed of arrivals, workspaces and kinds
 */
public record LoadSettings(List<Address> callers, String service, double ratePerSecond, int concurrency, int tokens,
		double streamedShare, Duration timeout, long seed) {

	public LoadSettings {
		callers = List.copyOf(callers);
	}

	/**
	 * Returns an open loop at all routers of an installation; half of the answers are
	 * streamed.
	 */
	public static LoadSettings open(Installation installation, double ratePerSecond, int tokens, long seed) {
		return new LoadSettings(installation.routers().stream().map(Installation.Member::caller).toList(),
				installation.profile().model().name(), ratePerSecond, 512, tokens, 0.5, Duration.ofSeconds(20), seed);
	}

	/**
	 * Returns a closed loop at all routers of an installation; half of the answers are
	 * streamed.
	 */
	public static LoadSettings closed(Installation installation, int concurrency, int tokens, long seed) {
		return new LoadSettings(installation.routers().stream().map(Installation.Member::caller).toList(),
				installation.profile().model().name(), 0, concurrency, tokens, 0.5, Duration.ofSeconds(20), seed);
	}

}
