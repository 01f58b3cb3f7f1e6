package org.jaywood.routing;

import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Tells which upstreams may run a call now, and chooses one of them. A call that is only
 * explained is decided in the same way, without a change of state. Guarded by the lock of
 * its {@link Dispatcher}.
 */
final class UpstreamSelector {

	private final PlacementPolicy policy;

	private final CallLimits limits;

	private final UpstreamStates states;

	private final UpstreamNotices notices;

	private final StallDetector stallDetector;

	UpstreamSelector(PlacementPolicy policy, CallLimits limits, UpstreamStates states, UpstreamNotices notices,
			StallDetector stallDetector) {
		this.policy = policy;
		this.limits = limits;
		this.states = states;
		this.notices = notices;
		this.stallDetector = stallDetector;
	}

	/**
	 * Chooses an upstream with free capacity. A call sent over a narrow link is in
	 * transit for long and cannot be recalled, so upstreams whose reports arrive late or
	 * lack calls that were sent are the last choice.
	 * @param heldBackSlots free capacity for each gateway that is left to more urgent
	 * calls
	 */
	Optional<PlacementPolicy.Candidate> choose(CallRequirements requirements, double heldBackSlots, FleetSize fleetSize,
			long nowMillis) {
		return select(requirements, (candidates) -> this.policy.select(candidates, requirements, profile(requirements),
				fleetSize, heldBackSlots, nowMillis), nowMillis)
			.chosen();
	}

	/**
	 * Returns the choice of {@link #choose} without a change of state.
	 */
	PlacementSelection preview(CallRequirements requirements, double heldBackSlots, FleetSize fleetSize,
			long nowMillis) {
		return select(requirements, (candidates) -> this.policy.preview(candidates, requirements, profile(requirements),
				fleetSize, heldBackSlots, nowMillis), nowMillis);
	}

	private PlacementSelection select(CallRequirements requirements, Selection selection, long nowMillis) {
		List<UpstreamState> available = available(requirements, nowMillis);
		PlacementSelection timely = selection.among(timely(available, nowMillis));
		return timely.chosen().isPresent() ? timely : selection.among(available);
	}

	/**
	 * Chooses an upstream with free capacity and a timely path.
	 */
	Optional<PlacementPolicy.Candidate> chooseTimely(CallRequirements requirements, double heldBackSlots,
			FleetSize fleetSize, long nowMillis) {
		return this.policy
			.select(timely(available(requirements, nowMillis), nowMillis), requirements, profile(requirements),
					fleetSize, heldBackSlots, nowMillis)
			.chosen();
	}

	private static List<UpstreamState> timely(List<UpstreamState> available, long nowMillis) {
		return available.stream().filter((state) -> state.hasTimelyPath(nowMillis)).toList();
	}

	/**
	 * Returns the upstreams that may run a call now: only subscribed engines while these
	 * are enough, so that the time of a choice does not grow with the fleet.
	 */
	private List<UpstreamState> available(CallRequirements requirements, long nowMillis) {
		List<UpstreamState> subscribed = available(this.states.subscribed().stream(), requirements, nowMillis);
		return this.policy.isEnough(subscribed, requirements, profile(requirements), nowMillis) ? subscribed
				: available(this.states.stream(), requirements, nowMillis);
	}

	private List<UpstreamState> available(Stream<UpstreamState> candidates, CallRequirements requirements,
			long nowMillis) {
		return eligible(candidates, requirements, nowMillis)
			.filter((state) -> availabilityExclusion(state, nowMillis) == null)
			.toList();
	}

	/**
	 * Returns why an upstream takes no call now, or null if it may take one.
	 */
	private @Nullable Exclusion availabilityExclusion(UpstreamState state, long nowMillis) {
		if (state.health().ejected(nowMillis)) {
			return Exclusion.EJECTED;
		}
		if (state.inFlight() >= this.notices.maxInFlight(state.upstream(), nowMillis)) {
			return Exclusion.PAUSED;
		}
		if (!state.responsive(nowMillis)) {
			return Exclusion.UNRESPONSIVE;
		}
		if (state.inFlight() > 0 && isVmSilent(state, nowMillis)) {
			return Exclusion.SILENT_VM;
		}
		return state.trustsPath() ? null : Exclusion.PATH_SUSPECT;
	}

	/**
	 * Returns why a selection does not choose an upstream of the service, or null if it
	 * is chosen or only ranks below the chosen one.
	 */
	@Nullable Exclusion exclusion(UpstreamState state, PlacementSelection selection, CallRequirements requirements,
			FleetSize fleetSize, long nowMillis) {
		Exclusion eligibility = eligibilityExclusion(state, requirements, nowMillis);
		if (eligibility != null) {
			return eligibility;
		}
		Exclusion availability = availabilityExclusion(state, nowMillis);
		if (availability != null) {
			return availability;
		}
		Exclusion exclusion = this.policy.exclusion(state, selection, profile(requirements), fleetSize, nowMillis);
		boolean untimely = exclusion == Exclusion.NOT_SUBSCRIBED && !state.hasTimelyPath(nowMillis)
				&& selection.chosen().isPresent();
		return (untimely && state.subscribed()) ? Exclusion.SLOW_PATH : exclusion;
	}

	/**
	 * Returns the upstreams that may run a call, with or without free capacity.
	 */
	Stream<UpstreamState> eligible(CallRequirements requirements, long nowMillis) {
		return eligible(this.states.stream(), requirements, nowMillis);
	}

	private Stream<UpstreamState> eligible(Stream<UpstreamState> candidates, CallRequirements requirements,
			long nowMillis) {
		return candidates.filter((state) -> state.upstream().service().equals(requirements.service()))
			.filter((state) -> eligibilityExclusion(state, requirements, nowMillis) == null);
	}

	private @Nullable Exclusion eligibilityExclusion(UpstreamState state, CallRequirements requirements,
			long nowMillis) {
		Fleet fleet = this.states.fleet();
		if (fleet == null || this.notices.leaving(state.upstream())) {
			return Exclusion.LEAVING;
		}
		return this.policy.eligibility(state, requirements, fleet, profile(requirements), nowMillis);
	}

	/**
	 * Whether an upstream exists that may run a call now, with or without free capacity.
	 */
	boolean hasEligible(CallRequirements requirements, long nowMillis) {
		return eligible(requirements, nowMillis)
			.anyMatch((state) -> this.notices.pauseLeftMillis(state.upstream(), nowMillis) == 0);
	}

	/**
	 * Whether limits leave no share for a call within the time that it can wait.
	 * @param ahead calls that are placed before it
	 * @param waitMillis time for which it can wait
	 */
	boolean isRateLimited(CallRequirements requirements, int ahead, long waitMillis, FleetSize fleetSize,
			long nowMillis) {
		long missing = ahead + 1;
		Iterator<UpstreamState> eligible = eligible(requirements, nowMillis).iterator();
		while (missing > 0 && eligible.hasNext()) {
			missing -= Math.min(missing, this.limits.callsWithin(waitMillis, eligible.next(), profile(requirements),
					fleetSize.divisor(), nowMillis));
		}
		return missing > 0;
	}

	/**
	 * Returns why a call cannot be placed, however long the queue is, or null if it can.
	 * @param ahead calls that are placed before it
	 * @param waitMillis time for which it can wait
	 */
	@Nullable PlacementRefusal refusal(CallRequirements requirements, int ahead, long waitMillis, FleetSize fleetSize,
			long nowMillis) {
		if (!hasEligible(requirements, nowMillis)) {
			return PlacementRefusal.NO_PLACE;
		}
		return isRateLimited(requirements, ahead, waitMillis, fleetSize, nowMillis) ? PlacementRefusal.RATE_LIMITED
				: null;
	}

	/**
	 * Whether an upstream runs that may take a call.
	 */
	boolean hasRunning(CallRequirements requirements, long nowMillis) {
		return eligible(requirements, nowMillis).anyMatch((state) -> isRunning(state, nowMillis));
	}

	/**
	 * Whether an upstream is likely to run: by the report of its agent, or without one by
	 * the calls of this gateway. The list of upstreams names engines that have lost power
	 * until their heartbeats are missed.
	 */
	private static boolean isRunning(UpstreamState state, long nowMillis) {
		return state.responsive(nowMillis)
				&& (state.freshReport(nowMillis) != null || !state.health().ejected(nowMillis));
	}

	/**
	 * Returns the time in milliseconds after which a refused call is likely to be placed:
	 * the time by the queue, or until the first upstream takes calls again.
	 * @param byQueueMillis time by the queue
	 */
	long retryAfterMillis(CallRequirements requirements, long byQueueMillis, FleetSize fleetSize, long nowMillis) {
		return eligible(requirements, nowMillis)
			.mapToLong((state) -> Math.max(byQueueMillis, unavailableMillis(state, fleetSize, nowMillis)))
			.min()
			.orElse(byQueueMillis);
	}

	/**
	 * Returns the time in milliseconds for which an upstream is known to take no call of
	 * this gateway.
	 */
	long unavailableMillis(UpstreamState state, FleetSize fleetSize, long nowMillis) {
		long limitedMillis = this.limits.waitMillis(state, this.states.profile(state.upstream().service()),
				fleetSize.divisor(), nowMillis);
		long ejectedMillis = state.health().ejectionLeftMillis(nowMillis);
		long pausedMillis = this.notices.pauseLeftMillis(state.upstream(), nowMillis);
		return Math.max(limitedMillis, Math.max(ejectedMillis, pausedMillis));
	}

	/**
	 * Whether nothing comes from the VM of an upstream, neither reports of its agent nor
	 * progress of any attempt of this gateway there. While this process itself has just
	 * stalled, that is not known.
	 */
	boolean isVmSilent(UpstreamState state, long nowMillis) {
		return this.stallDetector.ticking(nowMillis)
				&& state.vmSilent(this.stallDetector.runningSinceMillis(), nowMillis);
	}

	private @Nullable ServiceProfile profile(CallRequirements requirements) {
		return this.states.profile(requirements.service());
	}

	/**
	 * Selects one of some candidates.
	 */
	private interface Selection {

		PlacementSelection among(Collection<UpstreamState> candidates);

	}

}
