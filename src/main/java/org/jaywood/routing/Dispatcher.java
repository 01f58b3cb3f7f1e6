package org.jaywood.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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

	/**
	 * Calls that always may wait, whatever the forecast says, so that no freed place
	 * idles.
	 */
	private static final int LEAST_QUEUE = 4;

	/** Part of its wait that a call may be forecast to need, since forecasts err. */
	private static final double FORECAST_SHARE = 0.8;

	/** Callers that are refused together come back apart. */
	private static final int RETRY_SPREAD_MILLIS = 600;

	private final PlacementPolicy policy;

	private final DispatchSettings settings;

	private final Map<String, UpstreamState> states = new HashMap<>();

	private final Map<String, TreeSet<Ticket>> waiting = new HashMap<>();

	private final Map<String, ServiceRate> rates = new HashMap<>();

	private final Map<String, WaitForecast> forecasts = new HashMap<>();

	private @Nullable RouteTable table;

	private @Nullable Fleet fleet;

	private final UpstreamSubset subset;

	private double followedShare = 1;

	private final GatewayCount gateways = new GatewayCount();

	private long sequence;

	public Dispatcher(DispatchSettings settings) {
		this.settings = settings;
		this.policy = new PlacementPolicy(settings);
		this.subset = new UpstreamSubset(settings.gateway(), settings.dataCentre());
	}

	/**
	 * Takes a new configuration.
	 */
	public synchronized void onTable(RouteTable latest, long nowMillis) {
		this.table = latest;
		follow();
		placeWaiting(nowMillis);
	}

	/**
	 * Takes new knowledge of upstreams, data centres and weights.
	 */
	public synchronized void onFleet(Fleet latest, long nowMillis) {
		this.fleet = latest;
		Map<String, Upstream> entries = latest.upstreams().entries();
		entries.values().forEach((entry) -> {
			UpstreamState state = this.states.get(entry.id());
			if (state == null || state.upstream().bornMillis() != entry.bornMillis()) {
				this.states.put(entry.id(), new UpstreamState(entry, nowMillis));
			}
			else {
				state.update(entry, nowMillis);
			}
		});
		long graceEndMillis = latest.upstreams().regainedMillis() + this.settings.lapseMillis();
		boolean lapse = latest.upstreams().regainedMillis() != Long.MIN_VALUE && nowMillis < graceEndMillis;
		this.states.values()
			.stream()
			.filter((state) -> !entries.containsKey(state.upstream().id()))
			.forEach((state) -> state.keepMissingUntil(lapse ? graceEndMillis : nowMillis));
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
	public synchronized Ticket request(Demand demand, long nowMillis) {
		Ticket ticket = new Ticket(demand, this.sequence++, nowMillis);
		TreeSet<Ticket> queue = this.waiting.computeIfAbsent(demand.service(), (key) -> new TreeSet<>(Ticket.ORDER));
		queue.add(ticket);
		placeWaiting(demand.service(), nowMillis);
		return ticket;
	}

	/**
	 * Whether a call is likely to get a place within its wait.
	 * @param waitMillis time for which it can wait
	 */
	public synchronized boolean worthWaiting(Demand demand, long waitMillis, long nowMillis) {
		TreeSet<Ticket> queue = this.waiting.get(demand.service());
		if (queue == null || queue.size() < LEAST_QUEUE) {
			return true;
		}
		int ahead = queue.headSet(new Ticket(demand, this.sequence, nowMillis)).size();
		return forecast(demand.service()).waitMillis(ahead, nowMillis) <= FORECAST_SHARE * waitMillis;
	}

	/**
	 * Gives up waiting.
	 * @return whether the ticket had no place yet
	 */
	public synchronized boolean withdraw(Ticket ticket) {
		TreeSet<Ticket> queue = this.waiting.get(ticket.demand.service());
		return queue != null && queue.remove(ticket);
	}

	/**
	 * Whether an upstream exists that may run a call, with room or without.
	 */
	public synchronized boolean servable(Demand demand, long nowMillis) {
		return !eligible(demand, nowMillis).isEmpty();
	}

	/**
	 * Ends a call at an upstream and gives its place to the next one.
	 */
	public synchronized void end(Placement placement, Outcome outcome, long nowMillis) {
		UpstreamState state = this.states.get(placement.upstream().id());
		if (state != null && state.upstream().bornMillis() == placement.upstream().bornMillis()) {
			state.onEnd();
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
	public synchronized long retryAfterMillis(Demand demand, long nowMillis) {
		Collection<UpstreamState> eligible = eligible(demand, nowMillis);
		TreeSet<Ticket> queue = this.waiting.get(demand.service());
		int ahead = (queue != null) ? queue.size() : 0;
		long byRate = Math.max(MIN_RETRY_AFTER_MILLIS, rate(demand.service()).retryAfterMillis(ahead + 1, nowMillis))
				+ Math.floorMod(demand.callId().hashCode(), RETRY_SPREAD_MILLIS);
		return eligible.stream()
			.mapToLong((state) -> Math.max(byRate, state.health().pauseLeftMillis(nowMillis)))
			.min()
			.orElse(byRate);
	}

	/**
	 * The only version of the weights of a model that may begin a call, once it is due.
	 */
	public synchronized OptionalLong requiredVersion(String service, long nowMillis) {
		return (profile(service) instanceof ServiceProfile.Engines engines && this.fleet != null)
				? this.policy.requiredVersion(engines.model(), this.fleet.named(), nowMillis) : OptionalLong.empty();
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
		return toldGateways(nowMillis).orElse(this.gateways.last());
	}

	/**
	 * Number of gateways that share the upstreams, empty while no agent tells.
	 */
	public synchronized OptionalInt toldGateways(long nowMillis) {
		return this.gateways.told(this.states.values(), this.followedShare, nowMillis);
	}

	/**
	 * The engines whose agents report to this gateway, by address.
	 */
	public synchronized Map<Address, String> followed() {
		return this.states.values()
			.stream()
			.filter(UpstreamState::followed)
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
					+ state.inFlight() + " paused=" + state.health().paused(nowMillis) + " weights="
					+ state.weights(nowMillis))
			.toList();
	}

	/**
	 * Chooses the engines to follow: a part of those that may get calls, and near ones.
	 */
	private void follow() {
		if (this.table == null || this.fleet == null) {
			return;
		}
		Map<String, List<Upstream>> engines = this.fleet.upstreams()
			.entries()
			.values()
			.stream()
			.filter((upstream) -> profile(upstream.service()) instanceof ServiceProfile.Engines)
			.collect(Collectors.groupingBy(Upstream::service));
		List<List<Upstream>> open = engines.values().stream().map(this::open).toList();
		List<Upstream> chosen = open.stream().map(this.subset::of).flatMap(Set::stream).toList();
		Stream<Upstream> near = engines.values().stream().map(this.subset::near).flatMap(Set::stream);
		Set<String> ids = Stream.concat(chosen.stream(), near).map(Upstream::id).collect(Collectors.toSet());
		int openCount = open.stream().mapToInt(List::size).sum();
		this.followedShare = (openCount > 0) ? (double) chosen.size() / openCount : 1;
		this.gateways.refresh();
		this.states.values().forEach((state) -> state.follow(ids.contains(state.upstream().id())));
	}

	/**
	 * The engines of a list that may get calls.
	 */
	private List<Upstream> open(List<Upstream> engines) {
		Set<String> closed = Objects.requireNonNull(this.fleet).closedDataCentres();
		return engines.stream().filter((engine) -> !engine.leaving() && !closed.contains(engine.dataCentre())).toList();
	}

	private static void learn(UpstreamHealth health, Outcome outcome, long nowMillis) {
		switch (outcome) {
			case ANSWERED -> health.onAnswer(false);
			case FAILED -> health.onAnswer(true);
			case UNREACHABLE -> health.onUnreachable(nowMillis);
			case BROKEN -> health.onBreak(nowMillis);
			case REJECTED -> health.pauseUntil(nowMillis + REJECTED_PAUSE_MILLIS);
			case MISDIRECTED -> health.pauseUntil(nowMillis + MISDIRECTED_PAUSE_MILLIS);
			case CANCELLED -> {
			}
		}
	}

	private ServiceRate rate(String service) {
		return this.rates.computeIfAbsent(service, (key) -> new ServiceRate());
	}

	private WaitForecast forecast(String service) {
		return this.forecasts.computeIfAbsent(service, (key) -> new WaitForecast());
	}

	private @Nullable ServiceProfile profile(String service) {
		return (this.table != null) ? this.table.service(service).orElse(null) : null;
	}

	private Collection<UpstreamState> eligible(Demand demand, long nowMillis) {
		if (this.fleet == null) {
			return List.of();
		}
		return this.policy
			.eligible(this.states.values().stream(), demand, this.fleet, profile(demand.service()), nowMillis)
			.toList();
	}

	private void placeWaiting(long nowMillis) {
		this.waiting.keySet().forEach((service) -> placeWaiting(service, nowMillis));
	}

	private void placeWaiting(String service, long nowMillis) {
		TreeSet<Ticket> queue = this.waiting.get(service);
		if (queue == null || queue.isEmpty()) {
			return;
		}
		for (Ticket ticket : List.copyOf(queue)) {
			Optional<PlacementPolicy.Candidate> chosen = choose(ticket.demand, nowMillis);
			if (chosen.isPresent()) {
				queue.remove(ticket);
				place(ticket, chosen.get(), nowMillis);
			}
			else if (ticket.demand.tried().isEmpty() && ticket.demand.regions().isEmpty()
					&& ticket.demand.weights().isEmpty()) {
				// A later ticket finds no room either.
				return;
			}
		}
	}

	private Optional<PlacementPolicy.Candidate> choose(Demand demand, long nowMillis) {
		List<UpstreamState> usable = eligible(demand, nowMillis).stream()
			.filter((state) -> !state.health().paused(nowMillis))
			.filter((state) -> state.responsive(nowMillis))
			.toList();
		return this.policy.choose(usable, demand, profile(demand.service()), gateways(nowMillis), nowMillis);
	}

	private void place(Ticket ticket, PlacementPolicy.Candidate chosen, long nowMillis) {
		UpstreamState state = chosen.state();
		state.onSend(nowMillis);
		forecast(ticket.demand.service()).recordPlaced(nowMillis);
		long reportAgeMillis = state.reportAgeMillis(nowMillis);
		ticket.placement.complete(new Placement(state.upstream(), chosen.load(), chosen.capacity(), reportAgeMillis,
				nowMillis - ticket.sinceMillis));
	}

	/**
	 * Place in the queue of a service.
	 */
	public static final class Ticket {

		private static final Comparator<Ticket> ORDER = Comparator.<Ticket, Demand.Rank>comparing(
				(ticket) -> ticket.demand.rank())
			.thenComparingInt((ticket) -> ticket.demand.priority())
			.thenComparingLong((ticket) -> ticket.number);

		private final Demand demand;

		private final long number;

		private final long sinceMillis;

		private final CompletableFuture<Placement> placement = new CompletableFuture<>();

		private Ticket(Demand demand, long number, long sinceMillis) {
			this.demand = demand;
			this.number = number;
			this.sinceMillis = sinceMillis;
		}

		/**
		 * Completes when the call has a place.
		 */
		public CompletableFuture<Placement> placement() {
			return this.placement;
		}

	}

}
