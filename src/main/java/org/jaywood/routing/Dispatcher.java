package org.jaywood.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * Gives calls their places at upstreams. It answers the load of many more calls than the
 * upstreams can run: engines are kept full and not more, the rest wait here for a moment,
 * calls that can still be on time first, and what cannot get a place in time is refused
 * by its caller. Safe for use by several threads; it never blocks.
 */
public final class Dispatcher {

	/** An upstream that is full soon has room again. */
	private static final long REFUSED_BACKOFF_MILLIS = 60;

	/** Time in which the list is likely to show the change. */
	private static final long MISDIRECTED_BACKOFF_MILLIS = 400;

	/**
	 * A caller that is sent away during an overload finds the same one a moment later.
	 */
	private static final long MIN_RETRY_AFTER_MILLIS = 700;

	/** Callers that are refused together come back apart. */
	private static final int RETRY_AFTER_SPREAD_MILLIS = 600;

	private final PlacementPolicy policy;

	private final DispatchSettings settings;

	private final Map<String, UpstreamState> states = new HashMap<>();

	private final CallQueue queue = new CallQueue();

	private final Map<String, CompletionRate> completionRates = new HashMap<>();

	private @Nullable RouteTable routeTable;

	private @Nullable Fleet fleet;

	private final UpstreamSubset subset;

	private SubscribedEngines subscribedEngines = SubscribedEngines.NONE;

	private final GatewayCountEstimator gatewayCount = new GatewayCountEstimator();

	public Dispatcher(DispatchSettings settings) {
		this.settings = settings;
		this.policy = new PlacementPolicy(settings);
		this.subset = new UpstreamSubset(settings.gateway(), settings.dataCentre());
	}

	/**
	 * Takes a new configuration.
	 */
	public synchronized void onRouteTable(RouteTable latest, long nowMillis) {
		this.routeTable = latest;
		updateSubscriptions();
		placeQueued(nowMillis);
	}

	/**
	 * Takes new knowledge of upstreams, data centres and weights.
	 */
	public synchronized void onFleet(Fleet latest, long nowMillis) {
		this.fleet = latest;
		Map<String, Upstream> entries = latest.currentUpstreams();
		entries.values().forEach((entry) -> {
			UpstreamState state = this.states.get(entry.id());
			if (state == null || state.upstream().bornMillis() != entry.bornMillis()) {
				this.states.put(entry.id(), new UpstreamState(entry, nowMillis));
			}
			else {
				state.update(entry, nowMillis);
			}
		});
		long graceEndMillis = latest.upstreams().regainedMillis() + this.settings.lapseGraceMillis();
		boolean withinGrace = latest.upstreams().regainedMillis() != Long.MIN_VALUE && nowMillis < graceEndMillis;
		Set<Fleet.Endpoint> endpoints = entries.values().stream().map(Fleet.Endpoint::of).collect(Collectors.toSet());
		this.states.values()
			.stream()
			.filter((state) -> !entries.containsKey(state.upstream().id()))
			.forEach((state) -> state.expireAt((withinGrace && !endpoints.contains(Fleet.Endpoint.of(state.upstream())))
					? graceEndMillis : nowMillis));
		this.states.values().removeIf((state) -> !state.present(nowMillis) && state.inFlight() == 0);
		updateSubscriptions();
		placeQueued(nowMillis);
	}

	/**
	 * Takes the report of an agent.
	 * @param upstreamId id of the upstream in the list, also while it does not answer
	 */
	public synchronized void onReport(String upstreamId, UpstreamReport report, long nowMillis) {
		UpstreamState state = this.states.get(upstreamId);
		this.policy.onReport(report.informed(), nowMillis);
		if (state == null || (report.reachable() && !report.upstream().equals(upstreamId))) {
			return;
		}
		boolean countUnknown = state.gateways(nowMillis).isEmpty();
		state.onReport(report, nowMillis);
		if (countUnknown) {
			this.gatewayCount.refresh();
		}
		placeQueued(nowMillis);
	}

	/**
	 * Notes how long a report was under way.
	 * @param sentMillis time of its sending by the clock of the agent
	 */
	public synchronized void onDelay(String upstreamId, long sentMillis, long nowMillis) {
		UpstreamState state = this.states.get(upstreamId);
		if (state != null) {
			state.onReportDelay(sentMillis, nowMillis);
		}
	}

	/**
	 * Notes that the connection to the agent of an upstream has ended, so that its
	 * silence says nothing about the upstream.
	 */
	public synchronized void onAgentLost(String upstreamId) {
		UpstreamState state = this.states.get(upstreamId);
		if (state != null) {
			state.onAgentLost();
		}
	}

	/**
	 * Asks for a place. The queuedCall completes at once if there is one.
	 */
	public synchronized QueuedCall enqueue(CallRequirements requirements, long nowMillis) {
		QueuedCall queuedCall = this.queue.add(requirements, nowMillis);
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
	 * Whether a call is likely to get a place within its wait.
	 * @param waitMillis time for which it can wait
	 */
	public synchronized boolean isWaitFeasible(CallRequirements requirements, long waitMillis, long nowMillis) {
		return this.queue.isWaitFeasible(requirements, waitMillis, nowMillis);
	}

	/**
	 * Gives up waiting.
	 * @return whether the queuedCall had no place yet
	 */
	public synchronized boolean dequeue(QueuedCall queuedCall) {
		return this.queue.remove(queuedCall);
	}

	/**
	 * Whether an upstream exists that may run a call, with room or without.
	 */
	public synchronized boolean hasEligibleUpstream(CallRequirements requirements, long nowMillis) {
		return !eligible(requirements, nowMillis).isEmpty();
	}

	/**
	 * Gives a call a place at once, before all that wait, at an upstream that is not slow
	 * itself.
	 */
	public synchronized Optional<Placement> placeImmediately(CallRequirements requirements, long nowMillis) {
		return chooseTimely(available(requirements, nowMillis), requirements, nowMillis)
			.map((chosen) -> recordPlacement(chosen, nowMillis, nowMillis));
	}

	/**
	 * Ends a call at an upstream and gives its place to the next one.
	 */
	public synchronized void end(Placement placement, Outcome outcome, long nowMillis) {
		UpstreamState state = this.states.get(placement.upstream().id());
		if (state != null && state.upstream().bornMillis() == placement.upstream().bornMillis()) {
			state.onEnd(placement.placedMillis());
			recordOutcome(state.health(), outcome, nowMillis);
		}
		if (outcome == Outcome.ANSWERED) {
			completionRate(placement.upstream().service()).recordEnd(nowMillis);
		}
		placeQueued(placement.upstream().service(), nowMillis);
	}

	/**
	 * Time after which a refused call is likely to find a place.
	 */
	public synchronized long retryAfterMillis(CallRequirements requirements, long nowMillis) {
		Collection<UpstreamState> eligible = eligible(requirements, nowMillis);
		int queued = this.queue.count(requirements.service());
		long byRateMillis = Math.max(MIN_RETRY_AFTER_MILLIS,
				completionRate(requirements.service()).retryAfterMillis(queued + 1, nowMillis))
				+ Math.floorMod(requirements.callId().hashCode(), RETRY_AFTER_SPREAD_MILLIS);
		return eligible.stream()
			.mapToLong((state) -> Math.max(byRateMillis, state.health().ejectionLeftMillis(nowMillis)))
			.min()
			.orElse(byRateMillis);
	}

	/**
	 * The only version of the weights of a model that may begin a call, once it is due.
	 */
	public synchronized OptionalLong requiredVersion(String service, long nowMillis) {
		return (profile(service) instanceof ServiceProfile.Engines engines && this.fleet != null)
				? this.policy.requiredVersion(engines.model(), this.fleet.targetVersions(), nowMillis)
				: OptionalLong.empty();
	}

	/**
	 * Gives places that became free without an event, such as the end of a pause.
	 */
	public synchronized void tick(long nowMillis) {
		placeQueued(nowMillis);
	}

	/**
	 * Number of gateways that share the upstreams, as last known.
	 */
	public synchronized int gateways(long nowMillis) {
		return reportedGateways(nowMillis).orElse(this.gatewayCount.lastReported());
	}

	/**
	 * Number of gateways that share the upstreams, empty while no agent tells.
	 */
	public synchronized OptionalInt reportedGateways(long nowMillis) {
		return this.gatewayCount.reported(this.states.values(), this.subscribedEngines.share(), nowMillis);
	}

	/**
	 * The engines whose agents report to this gateway, by address.
	 */
	public synchronized Map<Address, String> subscribedEngines() {
		return this.states.values()
			.stream()
			.filter(UpstreamState::subscribed)
			.map(UpstreamState::upstream)
			.collect(Collectors.toMap(Upstream::address, Upstream::id, (first, second) -> second));
	}

	/**
	 * One line for each upstream, for the dump of the process.
	 */
	public synchronized List<String> describe(long nowMillis) {
		return this.states.values()
			.stream()
			.map((state) -> state.upstream().id() + " " + state.upstream().service() + " "
					+ state.upstream().dataCentre() + " load=" + state.load(gateways(nowMillis), nowMillis) + " own="
					+ state.inFlight() + " paused=" + state.health().ejected(nowMillis) + " weights="
					+ state.servedWeights(nowMillis))
			.toList();
	}

	private void updateSubscriptions() {
		if (this.routeTable == null || this.fleet == null) {
			return;
		}
		this.subscribedEngines = SubscribedEngines.choose(this.subset, this.routeTable, this.fleet);
		this.gatewayCount.refresh();
		this.states.values()
			.forEach((state) -> state.setSubscribed(this.subscribedEngines.ids().contains(state.upstream().id())));
	}

	private static void recordOutcome(UpstreamHealth health, Outcome outcome, long nowMillis) {
		switch (outcome) {
			case ANSWERED -> health.onAnswer(false);
			case FAILED -> health.onAnswer(true);
			case UNREACHABLE -> health.onUnreachable(nowMillis);
			case BROKEN -> health.onIndeterminate(nowMillis);
			case REJECTED -> health.ejectUntil(nowMillis + REFUSED_BACKOFF_MILLIS);
			case MISDIRECTED -> health.ejectUntil(nowMillis + MISDIRECTED_BACKOFF_MILLIS);
			case CANCELLED -> {
			}
		}
	}

	private CompletionRate completionRate(String service) {
		return this.completionRates.computeIfAbsent(service, (key) -> new CompletionRate());
	}

	private @Nullable ServiceProfile profile(String service) {
		return (this.routeTable != null) ? this.routeTable.service(service).orElse(null) : null;
	}

	private Collection<UpstreamState> eligible(CallRequirements requirements, long nowMillis) {
		if (this.fleet == null) {
			return List.of();
		}
		return this.policy
			.eligible(this.states.values().stream(), requirements, this.fleet, profile(requirements.service()),
					nowMillis)
			.toList();
	}

	private void placeQueued(long nowMillis) {
		this.queue.services().forEach((service) -> placeQueued(service, nowMillis));
	}

	private void placeQueued(String service, long nowMillis) {
		for (QueuedCall queuedCall : this.queue.inOrder(service)) {
			Optional<PlacementPolicy.Candidate> chosen = choose(queuedCall.requirements(), nowMillis);
			if (chosen.isPresent()) {
				place(queuedCall, chosen.get(), nowMillis);
			}
			else if (queuedCall.unconstrained()) {
				// A later queuedCall finds no room either.
				return;
			}
		}
	}

	/**
	 * Chooses an upstream with room. What is sent over a narrow link is under way for
	 * long and cannot be called back, so upstreams whose reports come late or lack calls
	 * that were sent are the last choice.
	 */
	private Optional<PlacementPolicy.Candidate> choose(CallRequirements requirements, long nowMillis) {
		List<UpstreamState> available = available(requirements, nowMillis);
		return chooseTimely(available, requirements, nowMillis).or(() -> choose(available, requirements, nowMillis));
	}

	private Optional<PlacementPolicy.Candidate> chooseTimely(List<UpstreamState> available,
			CallRequirements requirements, long nowMillis) {
		return choose(available.stream().filter((state) -> state.hasTimelyPath(nowMillis)).toList(), requirements,
				nowMillis);
	}

	private Optional<PlacementPolicy.Candidate> choose(List<UpstreamState> candidates, CallRequirements requirements,
			long nowMillis) {
		return this.policy.choose(candidates, requirements, profile(requirements.service()), gateways(nowMillis),
				nowMillis);
	}

	private List<UpstreamState> available(CallRequirements requirements, long nowMillis) {
		return eligible(requirements, nowMillis).stream()
			.filter((state) -> !state.health().ejected(nowMillis))
			.filter((state) -> state.responsive(nowMillis))
			.toList();
	}

	private void place(QueuedCall queuedCall, PlacementPolicy.Candidate chosen, long nowMillis) {
		this.queue.removePlaced(queuedCall, nowMillis);
		Placement placement = recordPlacement(chosen, queuedCall.enqueuedMillis(), nowMillis);
		if (!queuedCall.placement().complete(placement)) {
			// Its caller has left meanwhile.
			chosen.state().onEnd(nowMillis);
		}
	}

	private static Placement recordPlacement(PlacementPolicy.Candidate chosen, long enqueuedMillis, long nowMillis) {
		UpstreamState state = chosen.state();
		state.onSend(nowMillis);
		return new Placement(state.upstream(), chosen.load(), chosen.capacity(), state.reportAgeMillis(nowMillis),
				nowMillis - enqueuedMillis, nowMillis);
	}

}
