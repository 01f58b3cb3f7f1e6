package org.jaywood.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Limits on the calls of all gateways together to one upstream: that of cold engines,
 * which holds for warm ones too, since they turn cold without notice, and the one that an
 * upstream names in its responses. This gateway keeps its share of each, so that no
 * process hands out shares. Guarded by the lock of its {@link Dispatcher}.
 */
final class CallLimits {

	/**
	 * Share of a limit on the calls of all gateways that they use, since calls are in
	 * transit for different times.
	 */
	private static final double USED_LIMIT_SHARE = 0.9;

	/**
	 * Slightly more than the second to which the limit of a cold engine applies, for the
	 * same reason.
	 */
	private static final long COLD_WINDOW_MILLIS = 1_100;

	private final DispatchSettings settings;

	private final UpstreamNotices notices;

	CallLimits(DispatchSettings settings, UpstreamNotices notices) {
		this.settings = settings;
		this.notices = notices;
	}

	/**
	 * Returns the time in milliseconds until this gateway may send an upstream another
	 * call within its shares of all limits that hold there, 0 if it may now.
	 * @param fleetDivisor number of gateways, used if the agent does not report it
	 */
	long waitMillis(UpstreamState state, @Nullable ServiceProfile profile, int fleetDivisor, long nowMillis) {
		double share = limitShare(state, fleetDivisor, nowMillis);
		long windowsMillis = windows(state, profile, share)
			.mapToLong((window) -> state.sendWaitMillis(window, nowMillis))
			.max()
			.orElse(0);
		return Math.max(windowsMillis, holdMillis(state, share, nowMillis));
	}

	/**
	 * Returns which limit keeps this gateway from sending an upstream another call now,
	 * or null if none does.
	 * @param fleetDivisor number of gateways, used if the agent does not report it
	 */
	@Nullable Exclusion exclusion(UpstreamState state, @Nullable ServiceProfile profile, int fleetDivisor, long nowMillis) {
		boolean coldLimited = coldWindow(profile, limitShare(state, fleetDivisor, nowMillis))
			.filter((window) -> state.sendWaitMillis(window, nowMillis) > 0)
			.isPresent();
		if (coldLimited) {
			return Exclusion.COLD_LIMIT;
		}
		return (waitMillis(state, profile, fleetDivisor, nowMillis) > 0) ? Exclusion.UPSTREAM_LIMIT : null;
	}

	/**
	 * Returns the calls that this gateway may send an upstream within a time, within its
	 * shares of all limits that hold there.
	 * @param fleetDivisor number of gateways, used if the agent does not report it
	 */
	long callsWithin(long periodMillis, UpstreamState state, @Nullable ServiceProfile profile, int fleetDivisor,
			long nowMillis) {
		double share = limitShare(state, fleetDivisor, nowMillis);
		if (holdMillis(state, share, nowMillis) > periodMillis) {
			return 0;
		}
		return windows(state, profile, share)
			.mapToLong((window) -> window.callsWithin(periodMillis - state.sendWaitMillis(window, nowMillis)))
			.min()
			.orElse(Long.MAX_VALUE);
	}

	private static double limitShare(UpstreamState state, int fleetDivisor, long nowMillis) {
		return USED_LIMIT_SHARE / state.sharingGateways(fleetDivisor, nowMillis);
	}

	/**
	 * Returns the time in milliseconds until the first call of this gateway under the
	 * limit that an upstream names.
	 */
	private long holdMillis(UpstreamState state, double share, long nowMillis) {
		NamedLimit limit = this.notices.limit(state.upstream());
		if (limit == null) {
			return 0;
		}
		int seed = Objects.hash(this.settings.gateway(), state.upstream().id());
		double phase = new SplittableRandom(seed).nextDouble();
		return Math.max(0, limit.firstCallMillis(share, phase) - nowMillis);
	}

	private Stream<SendWindow> windows(UpstreamState state, @Nullable ServiceProfile profile, double share) {
		NamedLimit limit = this.notices.limit(state.upstream());
		return Stream.concat(coldWindow(profile, share).stream(),
				(limit != null) ? limit.windows(share).stream() : Stream.empty());
	}

	private Optional<SendWindow> coldWindow(@Nullable ServiceProfile profile, double share) {
		if (!(profile instanceof ServiceProfile.Engines engines) || engines.coldPerSecond() <= 0) {
			return Optional.empty();
		}
		double limit = engines.coldPerSecond() * this.settings.coldOverage() + this.settings.coldSlack();
		return Optional.of(new SendWindow(COLD_WINDOW_MILLIS, Math.max(1, (int) (limit * share))));
	}

}
