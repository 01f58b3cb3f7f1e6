package org.jaywood.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * Places calls on upstreams. Designed for many more calls than the upstreams can run:
 * engines are kept full but not overloaded, the other calls are queued here for a short
 * time, those that can still be on time first, and a call that cannot be placed in time
 * is refused by the user of this class. Safe for use by several threads; it never blocks.
 */
public final class Dispatcher {

	/**
	 * Time after the end of a grace period in which a call that was sent before may begin
	 * at its engine.
	 */
	private static final long MAX_WAIT_AT_ENGINE_MILLIS = 800;

	private final PlacementPolicy policy;

	private final UpstreamStates states;

	private final CallQueue queue = new CallQueue();

	private final UpstreamNotices notices = new UpstreamNotices();

	private final StallDetector stallDetector = new StallDetector();

	private final UpstreamSelector selector;

	private final PlacementExplainer explainer;

	public Dispatcher(DispatchSettings settings) {
		this(settings, new WorkRanking(), new SpilloverPolicy());
	}

	Dispatcher(DispatchSettings settings, EngineRanking ranking, DataCentreChoice dataCentreChoice) {
		CallLimits limits = new CallLimits(settings, this.notices);
		this.policy = new PlacementPolicy(settings, limits, ranking, dataCentreChoice);
		this.states = new UpstreamStates(settings);
		this.selector = new UpstreamSelector(this.policy, limits, this.states, this.notices, this.stallDetector);
		this.explainer = new PlacementExplainer(this.states, this.selector, this.policy, this.queue);
	}

	/**
	 * Applies a new configuration.
	 */
	public synchronized void onRouteTable(RouteTable latest, long nowMillis) {
		this.states.onRouteTable(latest);
		this.queue.onRouteTable(latest);
		placeQueued(nowMillis);
	}

	/**
	 * Applies a new state of upstreams, data centres and target versions.
	 */
	public synchronized void onFleet(Fleet latest, long nowMillis) {
		this.states.onFleet(latest, nowMillis);
		placeQueued(nowMillis);
	}

	/**
	 * Applies the report of an agent.
	 * @param upstreamId id of the upstream in the list, even while it does not answer
	 */
	public synchronized void onReport(String upstreamId, UpstreamReport report, long nowMillis) {
		this.policy.onReport(report.informed(), nowMillis);
		if (this.states.onReport(upstreamId, report, nowMillis)) {
			placeQueued(nowMillis);
		}
	}

	/**
	 * Records how long a report was in transit.
	 * @param sentMillis time at which it was sent, by the clock of the agent
	 */
	public synchronized void onReportDelay(String upstreamId, long sentMillis, long nowMillis) {
		UpstreamState state = this.states.find(upstreamId);
		if (state != null) {
			state.onReportDelay(sentMillis, nowMillis);
		}
	}

	/**
	 * Records the time in which a connection to an upstream was opened.
	 */
	public synchronized void onConnected(Upstream upstream, long millis, long nowMillis) {
		this.policy.onConnected(upstream, millis, nowMillis);
	}

	/**
	 * Records that the connection to the agent of an upstream has ended. After
	 * {@link AgentLoss#CLOSED} missing reports say nothing about the upstream.
	 */
	public synchronized void onAgentLost(String upstreamId, AgentLoss loss) {
		UpstreamState state = this.states.find(upstreamId);
		if (state != null) {
			state.onAgentLost(loss);
		}
	}

	/**
	 * Records that an upstream has said in a response that it leaves. It gets no more
	 * calls, whatever the list of upstreams says.
	 * @return whether that is news
	 */
	public synchronized boolean onLeaving(Upstream upstream, long nowMillis) {
		boolean news = this.notices.onLeaving(upstream);
		refuseUnplaceable(upstream.service(), nowMillis);
		return news;
	}

	/**
	 * Records that an upstream has said in a response that it wants no calls for a while.
	 */
	public synchronized void onPause(Upstream upstream, long pauseMillis, long nowMillis) {
		this.notices.onPause(upstream, pauseMillis, nowMillis);
		refuseUnplaceable(upstream.service(), nowMillis);
	}

	/**
	 * Records what a response of an upstream says about the calls that it takes from all
	 * gateways together.
	 * @param placedMillis time at which the call of the response was placed
	 */
	public synchronized LimitChange onLimit(Upstream upstream, LimitNotice notice, long placedMillis, long nowMillis) {
		return this.notices.onLimit(upstream, notice, placedMillis, nowMillis);
	}

	/**
	 * Queues a call that has come for placement, unless it is not likely to be placed
	 * within the time that it can wait. Its placement is complete on return if an
	 * upstream has free capacity.
	 * @param waitMillis time for which it can wait
	 */
	public synchronized Optional<QueuedCall> offer(CallRequirements requirements, long waitMillis, long nowMillis) {
		this.queue.of(requirements.service()).onArrival(requirements, nowMillis);
		return isWaitFeasible(requirements, waitMillis, nowMillis)
				? Optional.of(enqueue(requirements, nowMillis + waitMillis, nowMillis)) : Optional.empty();
	}

	/**
	 * Queues a call for placement, whatever the forecast says.
	 */
	public synchronized QueuedCall enqueue(CallRequirements requirements, long nowMillis) {
		return enqueue(requirements, Long.MAX_VALUE, nowMillis);
	}

	private QueuedCall enqueue(CallRequirements requirements, long deadlineMillis, long nowMillis) {
		QueuedCall queuedCall = this.queue.add(requirements, deadlineMillis, nowMillis);
		try {
			placeQueued(requirements.service(), nowMillis);
		}
		catch (RuntimeException | Error ex) {
			this.queue.remove(queuedCall);
			throw ex;
		}
		return queuedCall;
	}

	/**
	 * Whether a call is likely to be placed within the time that it can wait.
	 * @param waitMillis time for which it can wait
	 */
	public synchronized boolean isWaitFeasible(CallRequirements requirements, long waitMillis, long nowMillis) {
		return this.queue.isWaitFeasible(requirements, waitMillis, nowMillis);
	}

	/**
	 * Whether limits leave no share for a call, behind those that are queued before it,
	 * within the time that it can wait.
	 * @param waitMillis time for which it can wait
	 */
	public synchronized boolean isRateLimited(CallRequirements requirements, long waitMillis, long nowMillis) {
		return this.selector.isRateLimited(requirements, this.queue.countAhead(requirements, nowMillis), waitMillis,
				this.states.fleetSize(nowMillis), nowMillis);
	}

	/**
	 * Returns why a call cannot be placed within the time that it can wait, however long
	 * the queue is, empty if it can.
	 * @param waitMillis time for which it can wait
	 */
	public synchronized Optional<PlacementRefusal> refusal(CallRequirements requirements, long waitMillis,
			long nowMillis) {
		return Optional.ofNullable(this.selector.refusal(requirements, this.queue.countAhead(requirements, nowMillis),
				waitMillis, this.states.fleetSize(nowMillis), nowMillis));
	}

	/**
	 * Explains how a call arriving now would be handled, without a change of state.
	 * @param waitMillis time for which it can wait
	 * @param leftMillis time that its caller has left
	 */
	public synchronized PlacementExplanation explain(CallRequirements requirements, long waitMillis, long leftMillis,
			long nowMillis) {
		return this.explainer.explain(requirements, waitMillis, leftMillis, nowMillis);
	}

	/**
	 * Removes a call from the queue.
	 * @return whether the call had not been placed
	 */
	public synchronized boolean dequeue(QueuedCall queuedCall) {
		return this.queue.remove(queuedCall);
	}

	/**
	 * Whether an upstream exists that may run a call now, with or without free capacity.
	 */
	public synchronized boolean hasEligibleUpstream(CallRequirements requirements, long nowMillis) {
		return this.selector.hasEligible(requirements, nowMillis);
	}

	private void refuseUnplaceable(String service, long nowMillis) {
		this.queue.refuseIf(service, (queuedCall) -> !hasEligibleUpstream(queuedCall.requirements(), nowMillis));
	}

	/**
	 * Places a call immediately, ahead of the queued calls, on an upstream with a timely
	 * path that is not quiet.
	 */
	public synchronized Optional<Placement> placeImmediately(CallRequirements requirements, long nowMillis) {
		return this.selector
			.chooseTimely(requirements, heldBackSlots(requirements, nowMillis), this.states.fleetSize(nowMillis),
					nowMillis)
			.filter((chosen) -> !chosen.quiet())
			.map((chosen) -> recordPlacement(chosen, requirements, nowMillis, nowMillis));
	}

	/**
	 * Whether the attempts of this gateway at the upstream of a placement have all gone
	 * quiet.
	 */
	public synchronized boolean isQuiet(Placement placement, long nowMillis) {
		UpstreamState state = this.states.find(placement.upstream().id());
		return state != null && this.policy.quiet(state, nowMillis);
	}

	/**
	 * Whether nothing comes from the VM of a placement, neither reports of its agent nor
	 * progress of any attempt of this gateway there: it is suspended or cut off. While
	 * this process itself has just stalled, that is not known.
	 */
	public synchronized boolean isVmSilent(Placement placement, long nowMillis) {
		UpstreamState state = this.states.find(placement.upstream().id());
		return state != null && this.selector.isVmSilent(state, nowMillis);
	}

	/**
	 * Returns the time in milliseconds since the latest report of the agent of an
	 * upstream, -1 if none has come.
	 */
	public synchronized long agentSilenceMillis(Upstream upstream, long nowMillis) {
		UpstreamState state = this.states.find(upstream.id());
		return (state != null) ? state.agentSilenceMillis(nowMillis) : -1;
	}

	/**
	 * Records the end of a call at an upstream and places queued calls on the freed
	 * capacity.
	 */
	public synchronized void recordEnd(Placement placement, Outcome outcome, long nowMillis) {
		UpstreamState state = this.states.findIncarnation(placement.upstream());
		if (state != null) {
			this.policy.onEnd(state, placement, outcome, nowMillis);
			state.health().onOutcome(outcome, nowMillis);
		}
		this.queue.of(placement.upstream().service()).onEnd(placement, outcome, nowMillis);
		placeQueued(placement.upstream().service(), nowMillis);
	}

	/**
	 * Returns the time in milliseconds after which a refused call is likely to be placed.
	 * @param leftMillis time that its caller has left
	 */
	public synchronized long retryAfterMillis(CallRequirements requirements, long leftMillis, long nowMillis) {
		long byRateMillis = this.queue.of(requirements.service())
			.retryAfterMillis(requirements, () -> this.selector.hasRunning(requirements, nowMillis), leftMillis,
					nowMillis);
		return this.selector.retryAfterMillis(requirements, byRateMillis, this.states.fleetSize(nowMillis), nowMillis);
	}

	/**
	 * Returns the oldest version of the weights of a model that may still start a call,
	 * empty before the end of the first grace period.
	 */
	public synchronized OptionalLong requiredVersion(String service, long nowMillis) {
		Fleet fleet = this.states.fleet();
		return (profile(service) instanceof ServiceProfile.Engines engines && fleet != null)
				? this.policy.requiredVersion(engines.model(), fleet.targetVersions(), nowMillis)
				: OptionalLong.empty();
	}

	/**
	 * Whether a call that has not begun at its upstream would begin there too late,
	 * because the upstream still serves a version whose grace period ended a while ago.
	 */
	public synchronized boolean beginsTooLate(Upstream upstream, long nowMillis) {
		UpstreamState state = this.states.find(upstream.id());
		LoadedWeights weights = (state != null) ? state.servedWeights(nowMillis) : upstream.weights();
		OptionalLong required = requiredVersion(upstream.service(), nowMillis - MAX_WAIT_AT_ENGINE_MILLIS);
		return weights != null && required.isPresent() && weights.version() < required.getAsLong();
	}

	/**
	 * Places queued calls on capacity that became free without an event, for example at
	 * the end of an ejection, and refuses those that cannot be placed in time.
	 */
	public synchronized void onTick(long nowMillis) {
		this.stallDetector.tick(nowMillis);
		placeQueued(nowMillis);
		this.queue.refuseOverdue(nowMillis);
	}

	/**
	 * Returns the number of gateways that share the upstreams, as last known.
	 */
	public synchronized int lastReportedGateways(long nowMillis) {
		return this.states.lastReportedGateways(nowMillis);
	}

	/**
	 * Returns the number of gateways that share the upstreams, empty while no agent
	 * reports it.
	 */
	public synchronized OptionalInt reportedGateways(long nowMillis) {
		return this.states.reportedGateways(nowMillis);
	}

	/**
	 * Returns the ids of the engines whose agents report to this gateway, by address.
	 */
	public synchronized Map<Address, String> subscribedEngines() {
		return this.states.subscribedEngines();
	}

	/**
	 * Returns one line for each upstream and shared service, for the dump of the process.
	 */
	public synchronized List<String> describe(long nowMillis) {
		Stream<String> upstreams = this.states.stream()
			.map((state) -> state.upstream().id() + " " + state.upstream().service() + " "
					+ state.upstream().dataCentre() + " load=" + state.load(lastReportedGateways(nowMillis), nowMillis)
					+ " own=" + state.inFlight() + " paused=" + state.health().ejected(nowMillis) + " quiet="
					+ this.policy.quiet(state, nowMillis) + " slowness="
					+ Math.round(100 * this.policy.slowness(state, nowMillis)) / 100.0 + " weights="
					+ state.servedWeights(nowMillis));
		return Stream.concat(upstreams, this.queue.describe(nowMillis)).toList();
	}

	private @Nullable ServiceProfile profile(String service) {
		return this.states.profile(service);
	}

	private void placeQueued(long nowMillis) {
		this.queue.services().forEach((service) -> placeQueued(service, nowMillis));
	}

	private void placeQueued(String service, long nowMillis) {
		ServiceQueue.Pass pass = this.queue.of(service).pass();
		for (QueuedCall queuedCall = pass.next(); queuedCall != null; queuedCall = pass.next()) {
			CallRequirements requirements = queuedCall.requirements();
			Optional<PlacementPolicy.Candidate> chosen = this.selector.choose(requirements,
					heldBackSlots(requirements, nowMillis), this.states.fleetSize(nowMillis), nowMillis);
			if (chosen.isPresent()) {
				place(queuedCall, chosen.get(), nowMillis);
			}
			else if (queuedCall.unconstrained()) {
				// No upstream has capacity for the later calls either.
				return;
			}
			else {
				pass.skip(queuedCall);
			}
		}
	}

	private double heldBackSlots(CallRequirements requirements, long nowMillis) {
		return this.queue.of(requirements.service()).heldBackSlots(requirements, nowMillis);
	}

	private void place(QueuedCall queuedCall, PlacementPolicy.Candidate chosen, long nowMillis) {
		CallRequirements requirements = queuedCall.requirements();
		this.queue.of(requirements.service()).onPlaced(queuedCall, nowMillis);
		Placement placement = recordPlacement(chosen, requirements, queuedCall.enqueuedMillis(), nowMillis);
		if (!queuedCall.placement().complete(placement)) {
			// The caller has left in the meantime.
			this.policy.onEnd(chosen.state(), placement, Outcome.CANCELLED, nowMillis);
			this.queue.of(requirements.service()).onEnd(placement, Outcome.CANCELLED, nowMillis);
		}
	}

	private Placement recordPlacement(PlacementPolicy.Candidate chosen, CallRequirements requirements,
			long enqueuedMillis, long nowMillis) {
		UpstreamState state = chosen.state();
		AttemptObserver observer = this.policy.observer(chosen, requirements, profile(requirements.service()),
				nowMillis);
		this.queue.of(requirements.service()).onBegin();
		return new Placement(state.upstream(), requirements, chosen.spillover(), chosen.load(), chosen.capacity(),
				state.reportAgeMillis(nowMillis), nowMillis - enqueuedMillis, nowMillis,
				state.onSend(observer, nowMillis));
	}

}
