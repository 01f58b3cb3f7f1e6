package org.jaywood.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedResponse;
import org.jaywood.http.ResponseLimits;
import org.jaywood.leader.Lease;
import org.jaywood.routing.Fleet;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.scaling.DemandReport;
import org.jaywood.scaling.DemandTable;
import org.jaywood.scaling.ScalingInput;
import org.jaywood.scaling.ScalingTask;
import org.jaywood.scaling.SlotDemand;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Json;

/**
 * Duty to order the engines of the services whose configuration states bounds for their
 * number. Each gateway reports its demand to the leader, which sums it and knows from the
 * store which engines serve.
 */
final class ScalingDuty {

	/** Name of the duty in the settings. */
	static final String NAME = "autoscale";

	private static final String PATH = "/v1/demand";

	private static final long REPORT_INTERVAL_MILLIS = 1_000;

	private static final ResponseLimits REPORT_LIMITS = new ResponseLimits(600, 4_096);

	/**
	 * Share of the gateways whose reports make the demand complete; the number of
	 * gateways is an estimate.
	 */
	private static final double COMPLETE_SHARE = 0.8;

	private static final int MAX_REPORT_BYTES = 256 * 1024;

	private final GatewaySettings settings;

	private final GatewayContext context;

	private final Set<String> dataCentres;

	private final Supplier<@Nullable Lease> lease;

	private final DemandTable demand = new DemandTable();

	private long reportedMillis = Long.MIN_VALUE / 2;

	private ScalingDuty(GatewaySettings settings, GatewayContext context, Set<String> dataCentres,
			Supplier<@Nullable Lease> lease) {
		this.settings = settings;
		this.context = context;
		this.dataCentres = dataCentres;
		this.lease = lease;
	}

	/**
	 * Creates the duty.
	 * @param lease returns the lease of the leader as last seen, or null
	 */
	static Duty create(GatewaySettings settings, LeaderPorts ports, GatewayContext context,
			Supplier<@Nullable Lease> lease) {
		ScalingDuty duty = new ScalingDuty(settings, context, ports.dataCentres(), lease);
		return new Duty(new ScalingTask(duty::input, ports.scaling(), context.log()), PATH, duty::receive,
				duty::reportIfDue);
	}

	private ScalingInput input(long nowMillis) {
		Map<String, ScalingInput.Service> services = new HashMap<>();
		Fleet fleet = this.context.storeCache().fleet();
		if (fleet != null) {
			scaledServices().forEach((profile) -> {
				ServiceProfile.Scaling bounds = profile.scaling();
				if (bounds != null) {
					services.put(profile.name(), service(profile.name(), bounds, fleet, nowMillis));
				}
			});
		}
		int reporting = this.demand.reporting(nowMillis);
		boolean complete = reporting >= COMPLETE_SHARE * this.context.dispatcher().lastReportedGateways(nowMillis);
		return new ScalingInput(reporting > 0, complete, services);
	}

	private ScalingInput.Service service(String name, ServiceProfile.Scaling bounds, Fleet fleet, long nowMillis) {
		List<Upstream> engines = fleet.currentUpstreams()
			.values()
			.stream()
			.filter((engine) -> engine.service().equals(name) && !engine.leaving())
			.toList();
		Map<String, SlotDemand> callers = this.demand.sum(name, nowMillis);
		Map<String, ScalingInput.DataCentre> present = new HashMap<>();
		this.dataCentres.forEach((dataCentre) -> present.put(dataCentre, new ScalingInput.DataCentre(
				(int) engines.stream().filter((engine) -> engine.dataCentre().equals(dataCentre)).count(),
				fleet.closedDataCentres().contains(dataCentre), callers.getOrDefault(dataCentre, SlotDemand.NONE))));
		int slots = engines.stream().mapToInt(Upstream::slots).min().orElse(0);
		return new ScalingInput.Service(bounds, slots, present);
	}

	private List<ServiceProfile.Engines> scaledServices() {
		RouteTable table = this.context.storeCache().table();
		return (table != null) ? table.engines().filter((profile) -> profile.scaling() != null).toList() : List.of();
	}

	/**
	 * Takes in the report of a gateway.
	 */
	private void receive(Exchange exchange) throws IOException {
		String fault = this.demand.onReport(exchange.readJson(DemandReport.class, MAX_REPORT_BYTES),
				BootClock.nowMillis());
		if (fault == null) {
			exchange.respondJson(200, Map.of());
		}
		else {
			reject(fault);
			exchange.respondError(400, fault);
		}
	}

	private void reject(String fault) {
		this.context.metrics().counter("scaling.report_rejected").inc();
		this.context.log().log(Event.DEMAND_REJECTED, "error", fault);
	}

	/**
	 * Reports the demand of this gateway to the leader once a second.
	 */
	private void reportIfDue() {
		long nowMillis = BootClock.nowMillis();
		long intervalMillis = nowMillis - this.reportedMillis;
		List<ServiceProfile.Engines> services = scaledServices();
		if (services.isEmpty() || intervalMillis < REPORT_INTERVAL_MILLIS) {
			return;
		}
		boolean first = this.reportedMillis < 0;
		this.reportedMillis = nowMillis;
		DemandMeter meter = this.context.demandMeter();
		meter.activate();
		DemandReport report = new DemandReport(this.settings.vm(), this.settings.dispatch().dataCentre(),
				services.stream().map((service) -> meter.take(service.name(), intervalMillis)).toList());
		Lease latest = this.lease.get();
		if (!first && latest != null) {
			send(report, latest.address(), nowMillis);
		}
	}

	private void send(DemandReport report, Address leader, long nowMillis) {
		if (leader.equals(this.settings.operatorAddress())) {
			String fault = this.demand.onReport(report, nowMillis);
			if (fault != null) {
				reject(fault);
			}
			return;
		}
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", PATH);
		request.setHeader("Content-Type", "application/json");
		try {
			BufferedResponse response = this.context.pool()
				.exchange(leader, request, Json.bytes(report), REPORT_LIMITS);
			if (!response.ok()) {
				this.context.metrics().counter("scaling.report_failed").inc();
			}
		}
		catch (IOException ex) {
			// The next report follows in a second; the leader does without it until then.
			this.context.metrics().counter("scaling.report_failed").inc();
		}
	}

}
