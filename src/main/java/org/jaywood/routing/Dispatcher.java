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
	private static final long REJECTED_PAUSE_MILLIS = 60;

	/** Time in which the list is likely to show the change. */
	private static final long MISDIRECTED_PAUSE_MILLIS = 400;

	/**
	 * A caller that is sent away during an overload finds the same one a moment later.
	 */
	private static final long MIN_RETRY_AFTER_MILLIS = 700;

	/** Callers that are refused together come back apart. */
	private static final int RETRY_SPREAD_MILLIS = 600;

	private final PlacementPolicy policy;

	private final DispatchSettings settings;

	private final Map<String, UpstreamState> states = new HashMap<>();

	private final CallQueue waiting = new CallQueue();

	private final Map<String, CompletionRate> rates = new HashMap<>();

	private @Nullable RouteTable table;

	private @Nullable Fleet fleet;

	private final UpstreamSubset subset;

	private SubscribedEngines subscribedEngines = SubscribedEngines.NONE;

	private final GatewayCountEstimator gateways = new GatewayCountEstimator();

	public Dispatcher(DispatchSettings settings) {
		this.settings = settings;
		this.policy = new PlacementPolicy(settings);
		this.subset = new UpstreamSubset(settings.gateway(), settings.dataCentre());
	}

	/**
	 * Takes a new configuration.
	 */
	public synchronized void onRouteTable(RouteTable latest, long nowMillis) {
		this.table = latest;
		follow();
		placeWaiting(nowMillis);
	}

	/**
	 * Takes new knowledge of upstreams, data centres and weights.
	 */
	public synchronized void onFleet(Fleet latest, long nowMillis) {
		this.fleet = latest;
		Map<String, Upstream> entries = latest.current();
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
		boolean lapse = latest.upstreams().regainedMillis() != Long.MIN_VALUE && nowMillis < graceEndMillis;
		Set<Fleet.Endpoint> taken = entries.values().stream().map(Fleet.Endpoint::of).collect(Collectors.toSet());
		this.states.values()
			.stream()
			.filter((state) -> !entries.containsKey(state.upstream().id()))
			.forEach((state) -> state.keepMissingUntil(
					(lapse && !taken.contains(Fleet.Endpoint.of(state.upstream()))) ? graceEndMillis : nowMillis));
		this.states.values().removeIf((state) -> !state.present(nowMillis) && state.inFlight() == 0);
		follow();
		placeWaiting(nowMillis);
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
		boolean first = state.gateways(nowMillis).isEmpty();
		state.onReport(report, nowMillis);
		if (first) {
			this.gateways.refresh();
		}
		placeWaiting(nowMillis);
	}

	/**
	 * Notes how long a report was under way.
	 * @param sentMillis time of its sending by the clock of the agent
	 */
	public synchronized void onDelay(String upstreamId, long sentMillis, long nowMillis) {
		UpstreamState state = this.states.get(upstreamId);
		if (state != null) {
			state.onDelay(sentMillis, nowMillis);
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
	 * Asks for a place. The ticket completes at once if there is one.
	 */
	public synchronized QueuedCall enqueue(CallRequirements demand, long nowMillis) {
		QueuedCall ticket = this.waiting.add(demand, nowMillis);
		try {
			placeWaiting(demand.service(), nowMillis);
		}
		catch (RuntimeException | Error ex) {
			this.waiting.remove(ticket);
			throw ex;
		}
		return ticket;
	}

	/**
	 * Whether a call is likely to get a place within its wait.
	 * @param waitMillis time for which it can wait
	 */
	public synchronized boolean isWaitFeasible(CallRequirements demand, long waitMillis, long nowMillis) {
		return this.waiting.isWaitFeasible(demand, waitMillis, nowMillis);
	}

	/**
	 * Gives up waiting.
	 * @return whether the ticket had no place yet
	 */
	public synchronized boolean dequeue(QueuedCall ticket) {
		return this.waiting.remove(ticket);
	}

	/**
	 * Whether an upstream exists that may run a call, with room or without.
	 */
	public synchronized boolean hasEligibleUpstream(CallRequirements demand, long nowMillis) {
		return !eligible(demand, nowMillis).isEmpty();
	}

	/**
	 * Gives a call a place at once, before all that wait, at an upstream that is not slow
	 * itself.
	 */
	public synchronized Optional<Placement> placeImmediately(CallRequirements demand, long nowMillis) {
		return choosePunctual(usable(demand, nowMillis), demand, nowMillis)
			.map((chosen) -> take(chosen, nowMillis, nowMillis));
	}

	/**
	 * Ends a call at an upstream and gives its place to the next one.
	 */
	public synchronized void end(Placement placement, Outcome outcome, long nowMillis) {
		UpstreamState state = this.states.get(placement.upstream().id());
		if (state != null && state.upstream().bornMillis() == placement.upstream().bornMillis()) {
			state.onEnd(placement.placedMillis());
			learn(state.health(), outcome, nowMillis);
		}
		if (outcome == Outcome.ANSWERED) {
			rate(placement.upstream().service()).recordEnd(nowMillis);
		}
		placeWaiting(placement.upstream().service(), nowMillis);
	}

	/**
	 * Time after which a refused call is likely to find a place.
	 */
	public synchronized long retryAfterMillis(CallRequirements demand, long nowMillis) {
		Collection<UpstreamState> eligible = eligible(demand, nowMillis);
		int ahead = this.waiting.count(demand.service());
		long byRate = Math.max(MIN_RETRY_AFTER_MILLIS, rate(demand.service()).retryAfterMillis(ahead + 1, nowMillis))
				+ Math.floorMod(demand.callId().hashCode(), RETRY_SPREAD_MILLIS);
		return eligible.stream()
			.mapToLong((state) -> Math.max(byRate, state.health().ejectionLeftMillis(nowMillis)))
			.min()
			.orElse(byRate);
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
		placeWaiting(nowMillis);
	}

	/**
	 * Number of gateways that share the upstreams, as last known.
	 */
	public synchronized int gateways(long nowMillis) {
		return reportedGateways(nowMillis).orElse(this.gateways.lastReported());
	}

	/**
	 * Number of gateways that share the upstreams, empty while no agent tells.
	 */
	public synchronized OptionalInt reportedGateways(long nowMillis) {
		return this.gateways.reported(this.states.values(), this.subscribedEngines.share(), nowMillis);
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
					+ state.weights(nowMillis))
			.toList();
	}

	private void follow() {
		if (this.table == null || this.fleet == null) {
			return;
		}
		this.subscribedEngines = SubscribedEngines.choose(this.subset, this.table, this.fleet);
		this.gateways.refresh();
		this.states.values()
			.forEach((state) -> state.setSubscribed(this.subscribedEngines.ids().contains(state.upstream().id())));
	}

	private static void learn(UpstreamHealth health, Outcome outcome, long nowMillis) {
		switch (outcome) {
			case ANSWERED -> health.onAnswer(false);
			case FAILED -> health.onAnswer(true);
			case UNREACHABLE -> health.onUnreachable(nowMillis);
			case BROKEN -> health.onBreak(nowMillis);
			case REJECTED -> health.ejectUntil(nowMillis + REJECTED_PAUSE_MILLIS);
			case MISDIRECTED -> health.ejectUntil(nowMillis + MISDIRECTED_PAUSE_MILLIS);
			case CANCELLED -> {
			}
		}
	}

	private CompletionRate rate(String service) {
		return this.rates.computeIfAbsent(service, (key) -> new CompletionRate());
	}

	private @Nullable ServiceProfile profile(String service) {
		return (this.table != null) ? this.table.service(service).orElse(null) : null;
	}

	private Collection<UpstreamState> eligible(CallRequirements demand, long nowMillis) {
		if (this.fleet == null) {
			return List.of();
		}
		return this.policy
			.eligible(this.states.values().stream(), demand, this.fleet, profile(demand.service()), nowMillis)
			.toList();
	}

	private void placeWaiting(long nowMillis) {
		this.waiting.services().forEach((service) -> placeWaiting(service, nowMillis));
	}

	private void placeWaiting(String service, long nowMillis) {
		for (QueuedCall ticket : this.waiting.inOrder(service)) {
			Optional<PlacementPolicy.Candidate> chosen = choose(ticket.demand(), nowMillis);
			if (chosen.isPresent()) {
				place(ticket, chosen.get(), nowMillis);
			}
			else if (ticket.unconstrained()) {
				// A later ticket finds no room either.
				return;
			}
		}
	}

	/**
	 * Chooses an upstream with room. What is sent over a narrow link is under way for
	 * long and cannot be called back, so upstreams whose reports come late or lack calls
	 * that were sent are the last choice.
	 */
	private Optional<PlacementPolicy.Candidate> choose(CallRequirements demand, long nowMillis) {
		List<UpstreamState> usable = usable(demand, nowMillis);
		return choosePunctual(usable, demand, nowMillis).or(() -> choose(usable, demand, nowMillis));
	}

	private Optional<PlacementPolicy.Candidate> choosePunctual(List<UpstreamState> usable, CallRequirements demand,
			long nowMillis) {
		return choose(usable.stream().filter((state) -> state.hasTimelyPath(nowMillis)).toList(), demand, nowMillis);
	}

	private Optional<PlacementPolicy.Candidate> choose(List<UpstreamState> candidates, CallRequirements demand,
			long nowMillis) {
		return this.policy.choose(candidates, demand, profile(demand.service()), gateways(nowMillis), nowMillis);
	}

	private List<UpstreamState> usable(CallRequirements demand, long nowMillis) {
		return eligible(demand, nowMillis).stream()
			.filter((state) -> !state.health().ejected(nowMillis))
			.filter((state) -> state.responsive(nowMillis))
			.toList();
	}

	private void place(QueuedCall ticket, PlacementPolicy.Candidate chosen, long nowMillis) {
		this.waiting.removePlaced(ticket, nowMillis);
		Placement placement = take(chosen, ticket.sinceMillis(), nowMillis);
		if (!ticket.placement().complete(placement)) {
			// Its caller has left meanwhile.
			chosen.state().onEnd(nowMillis);
		}
	}

	private static Placement take(PlacementPolicy.Candidate chosen, long sinceMillis, long nowMillis) {
		UpstreamState state = chosen.state();
		state.onSend(nowMillis);
		return new Placement(state.upstream(), chosen.load(), chosen.capacity(), state.reportAgeMillis(nowMillis),
				nowMillis - sinceMillis, nowMillis);
	}

}
