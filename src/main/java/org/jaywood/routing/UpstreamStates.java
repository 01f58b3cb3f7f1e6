package org.jaywood.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * States of the upstreams in the list, the subscriptions to the reports of their agents,
 * and the number of gateways that those reports show. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class UpstreamStates {

	private final long lapseGraceMillis;

	private final UpstreamSubset subset;

	private final Map<String, UpstreamState> states = new HashMap<>();

	private final GatewayCountEstimator gatewayCount = new GatewayCountEstimator();

	private List<UpstreamState> subscribedStates = List.of();

	private SubscribedEngines subscribedEngines = SubscribedEngines.NONE;

	private @Nullable RouteTable routeTable;

	private @Nullable Fleet fleet;

	UpstreamStates(DispatchSettings settings) {
		this.lapseGraceMillis = settings.lapseGraceMillis();
		this.subset = new UpstreamSubset(settings.gateway(), settings.dataCentre());
	}

	/**
	 * Returns the state of the latest incarnation of an upstream, or null if the upstream
	 * is not known.
	 */
	@Nullable UpstreamState find(String upstreamId) {
		return this.states.get(upstreamId);
	}

	/**
	 * Returns the state of an incarnation of an upstream, or null if it is not known.
	 */
	@Nullable UpstreamState findIncarnation(Upstream upstream) {
		UpstreamState state = this.states.get(upstream.id());
		return (state != null && state.upstream().bornMillis() == upstream.bornMillis()) ? state : null;
	}

	Stream<UpstreamState> stream() {
		return this.states.values().stream();
	}

	/**
	 * Returns the engines whose agents report to this gateway, in the order of
	 * {@link #stream()}.
	 */
	List<UpstreamState> subscribed() {
		return this.subscribedStates;
	}

	/**
	 * Returns the fleet as last known, or null before it is.
	 */
	@Nullable Fleet fleet() {
		return this.fleet;
	}

	/**
	 * Returns the configuration of a service, or null if it is not known.
	 */
	@Nullable ServiceProfile profile(String service) {
		return (this.routeTable != null) ? this.routeTable.service(service).orElse(null) : null;
	}

	void onRouteTable(RouteTable latest) {
		this.routeTable = latest;
		updateSubscriptions();
	}

	/**
	 * Applies a new list. An upstream that is missing after an outage of the store is
	 * kept for a while, unless another one has its address.
	 */
	void onFleet(Fleet latest, long nowMillis) {
		this.fleet = latest;
		Map<String, Upstream> entries = latest.currentUpstreams();
		entries.values().forEach((entry) -> onEntry(entry, nowMillis));
		long graceEndMillis = latest.upstreams().regainedMillis() + this.lapseGraceMillis;
		boolean withinGrace = latest.upstreams().regainedMillis() != Long.MIN_VALUE && nowMillis < graceEndMillis;
		Set<Fleet.Endpoint> endpoints = entries.values().stream().map(Fleet.Endpoint::of).collect(Collectors.toSet());
		stream().filter((state) -> !entries.containsKey(state.upstream().id()))
			.forEach((state) -> state.expireAt((withinGrace && !endpoints.contains(Fleet.Endpoint.of(state.upstream())))
					? graceEndMillis : nowMillis));
		this.states.values().removeIf((state) -> !state.present(nowMillis) && state.inFlight() == 0);
		updateSubscriptions();
	}

	private void onEntry(Upstream entry, long nowMillis) {
		UpstreamState state = findIncarnation(entry);
		if (state == null) {
			this.states.put(entry.id(), new UpstreamState(entry, nowMillis));
		}
		else {
			state.update(entry, nowMillis);
		}
	}

	/**
	 * Applies the report of an agent.
	 * @return whether the report belongs to an upstream in the list
	 */
	boolean onReport(String upstreamId, UpstreamReport report, long nowMillis) {
		UpstreamState state = this.states.get(upstreamId);
		if (state == null || (report.reachable() && !report.upstream().equals(upstreamId))) {
			return false;
		}
		boolean countUnknown = state.gateways(nowMillis).isEmpty();
		state.onReport(report, nowMillis);
		if (countUnknown) {
			this.gatewayCount.refresh();
		}
		return true;
	}

	/**
	 * Returns the number of gateways that share the upstreams, as last known.
	 */
	int lastReportedGateways(long nowMillis) {
		return reportedGateways(nowMillis).orElse(this.gatewayCount.lastReported());
	}

	/**
	 * Returns the number of gateways that share the upstreams, empty while no agent
	 * reports it.
	 */
	OptionalInt reportedGateways(long nowMillis) {
		return this.gatewayCount.reported(this.states.values(), this.subscribedEngines.share(), nowMillis);
	}

	/**
	 * Returns the number of gateways as known now.
	 */
	FleetSize fleetSize(long nowMillis) {
		return new FleetSize(lastReportedGateways(nowMillis), this.gatewayCount.divisor(nowMillis));
	}

	/**
	 * Returns the number of gateways as {@link #fleetSize} does, without recording it.
	 */
	FleetSize previewFleetSize(long nowMillis) {
		return this.gatewayCount.preview(this.states.values(), this.subscribedEngines.share(), nowMillis);
	}

	/**
	 * Returns the ids of the engines whose agents report to this gateway, by address.
	 */
	Map<Address, String> subscribedEngines() {
		return stream().filter(UpstreamState::subscribed)
			.map(UpstreamState::upstream)
			.collect(Collectors.toMap(Upstream::address, Upstream::id, (first, second) -> second));
	}

	private void updateSubscriptions() {
		if (this.routeTable == null || this.fleet == null) {
			return;
		}
		this.subscribedEngines = SubscribedEngines.choose(this.subset, this.routeTable, this.fleet);
		this.gatewayCount.refresh();
		stream().forEach((state) -> state.setSubscribed(this.subscribedEngines.ids().contains(state.upstream().id())));
		this.subscribedStates = stream().filter(UpstreamState::subscribed).toList();
	}

}
