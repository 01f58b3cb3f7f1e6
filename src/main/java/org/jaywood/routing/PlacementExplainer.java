package org.jaywood.routing;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explains how a call arriving now would be handled, for an operator who asks why calls
 * are refused or go where they go. It asks those that decide about calls, without a
 * change of their state. Guarded by the lock of its {@link Dispatcher}.
 */
final class PlacementExplainer {

	private final UpstreamStates states;

	private final UpstreamSelector selector;

	private final PlacementPolicy policy;

	private final CallQueue queues;

	PlacementExplainer(UpstreamStates states, UpstreamSelector selector, PlacementPolicy policy, CallQueue queues) {
		this.states = states;
		this.selector = selector;
		this.policy = policy;
		this.queues = queues;
	}

	/**
	 * Explains a call.
	 * @param waitMillis time for which it can wait
	 * @param leftMillis time that its caller has left
	 */
	PlacementExplanation explain(CallRequirements requirements, long waitMillis, long leftMillis, long nowMillis) {
		FleetSize fleetSize = this.states.previewFleetSize(nowMillis);
		ServiceQueue queue = this.queues.find(requirements.service());
		QueuedCall latest = this.queues.latest(requirements, nowMillis);
		int ahead = queue.countAhead(latest);
		PlacementRefusal refusedAtOnce = this.selector.refusal(requirements, ahead, waitMillis, fleetSize, nowMillis);
		PlacementRefusal refusal = (refusedAtOnce == null && !queue.previewWaitFeasible(latest, waitMillis, nowMillis))
				? PlacementRefusal.QUEUE_FULL : refusedAtOnce;
		double heldBackSlots = queue.heldBackSlots(requirements, nowMillis);
		PlacementSelection selection = this.selector.preview(requirements, heldBackSlots, fleetSize, nowMillis);
		boolean placed = refusal == null && selection.chosen().isPresent()
				&& isNext(latest, queue, fleetSize, nowMillis);
		PlacementPolicy.Candidate chosen = placed ? selection.chosen().orElse(null) : null;
		boolean served = this.selector.hasRunning(requirements, nowMillis);
		long retryAfterMillis = this.selector.retryAfterMillis(requirements,
				queue.previewRetryAfterMillis(requirements, served, leftMillis, refusedAtOnce == null, nowMillis),
				fleetSize, nowMillis);
		return new PlacementExplanation(refusal, (chosen != null) ? chosen.state().upstream().id() : null,
				(chosen != null) ? chosen.spillover() : null, ahead, queue.size(), heldBackSlots, retryAfterMillis,
				upstreams(requirements, selection, fleetSize, nowMillis));
	}

	/**
	 * Whether no queued call keeps a call from being placed: neither one that gets a
	 * place before it, nor one that ends the walk through the queue because no upstream
	 * has capacity for it. Calls that are placed together or not at all are evaluated
	 * once, since calls wait for the lock meanwhile and the queue may be long.
	 */
	private boolean isNext(QueuedCall latest, ServiceQueue queue, FleetSize fleetSize, long nowMillis) {
		List<QueuedCall> before = queue.callsBefore(latest).toList();
		if (before.stream().anyMatch(QueuedCall::unconstrained)) {
			return false;
		}
		Set<Placeability> evaluated = new HashSet<>();
		return before.stream()
			.map(QueuedCall::requirements)
			.filter((requirements) -> evaluated.add(Placeability.of(requirements)))
			.noneMatch((requirements) -> isPlaceable(requirements, queue, fleetSize, nowMillis));
	}

	private boolean isPlaceable(CallRequirements requirements, ServiceQueue queue, FleetSize fleetSize,
			long nowMillis) {
		return this.selector.preview(requirements, queue.heldBackSlots(requirements, nowMillis), fleetSize, nowMillis)
			.chosen()
			.isPresent();
	}

	private List<UpstreamExplanation> upstreams(CallRequirements requirements, PlacementSelection selection,
			FleetSize fleetSize, long nowMillis) {
		return this.states.stream()
			.filter((state) -> state.upstream().service().equals(requirements.service()))
			.sorted(Comparator.comparing((state) -> state.upstream().id()))
			.map((state) -> upstream(state, requirements, selection, fleetSize, nowMillis))
			.toList();
	}

	private UpstreamExplanation upstream(UpstreamState state, CallRequirements requirements,
			PlacementSelection selection, FleetSize fleetSize, long nowMillis) {
		Upstream upstream = state.upstream();
		PlacementPolicy.Candidate candidate = this.policy.evaluate(state, requirements,
				this.states.profile(requirements.service()), selection.bestShare(), fleetSize.gateways(), nowMillis);
		Exclusion excluded = this.selector.exclusion(state, selection, requirements, fleetSize, nowMillis);
		return new UpstreamExplanation(upstream.id(), upstream.dataCentre(), upstream.region(), upstream.slots(),
				candidate.load(), candidate.capacity(), candidate.cost(), excluded,
				this.selector.unavailableMillis(state, fleetSize, nowMillis));
	}

	/**
	 * What determines whether a queued call of a service can be placed.
	 */
	private record Placeability(FairQueue.Constraints constraints, int priority,
			CallRequirements.QueueClass queueClass) {

		static Placeability of(CallRequirements requirements) {
			return new Placeability(FairQueue.Constraints.of(requirements), requirements.priority(),
					requirements.queueClass());
		}

	}

}
