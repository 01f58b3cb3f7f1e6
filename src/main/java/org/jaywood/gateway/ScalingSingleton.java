package org.jaywood.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.ResponseLimits;
import org.jaywood.leader.LeaderTask;
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
 * Orders the engines of the services whose configuration states bounds for their number.
 * Each gateway reports its demand to the leader, which sums it and knows from the store
 * which engines serve.
 */
final class ScalingSingleton implements ClusterSingleton {

	private static final String PATH = "/v1/demand";

	private static final long REPORT_INTERVAL_MILLIS = 1_000;

	private static final ResponseLimits RESPONSE_LIMITS = new ResponseLimits(600, 4_096);

	/**
	 * Share of the gateways whose reports make the demand complete; the number of
	 * gateways is an estimate.
	 */
	private static final double COMPLETE_SHARE = 0.8;

	private static final int MAX_REPORT_BYTES = 256 * 1024;

	private final GatewaySettings settings;

	private final Set<String> dataCentres;

	private final GatewayMetrics metrics;

	private final EventLog log;

	private final ScalingTask task;

	private final DemandTable demand = new DemandTable();

	private final ConnectionPool pool = new ConnectionPool();

	private volatile @Nullable GatewayContext context;

	private long reportedMillis = Long.MIN_VALUE / 2;

	ScalingSingleton(GatewaySettings settings, LeaderPorts ports, GatewayMetrics metrics, EventLog log) {
		this.settings = settings;
		this.dataCentres = ports.dataCentres();
		this.metrics = metrics;
		this.log = log;
		this.task = new ScalingTask(this::input, ports.scaling(), BootClock::nowMillis, log);
	}

	/**
	 * Gives the singleton what this gateway knows. Called once, before the start.
	 */
	void attach(GatewayContext latest) {
		this.context = latest;
	}

	@Override
	public LeaderTask task() {
		return this.task;
	}

	@Override
	public String path() {
		return PATH;
	}

	private ScalingInput input(long nowMillis) {
		GatewayContext attached = this.context;
		Fleet fleet = (attached != null) ? attached.storeCache().fleet() : null;
		if (attached == null || fleet == null) {
			return new ScalingInput(false, false, Map.of());
		}
		Map<String, ScalingInput.Service> services = new HashMap<>();
		scaledServices(attached).forEach((profile) -> {
			ServiceProfile.Scaling bounds = profile.scaling();
			if (bounds != null) {
				services.put(profile.name(), service(profile.name(), bounds, fleet, nowMillis));
			}
		});
		int reporting = this.demand.reporting(nowMillis);
		boolean complete = reporting >= COMPLETE_SHARE * attached.dispatcher().lastReportedGateways(nowMillis);
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

	private static List<ServiceProfile.Engines> scaledServices(GatewayContext context) {
		RouteTable table = context.storeCache().table();
		return (table != null) ? table.engines().filter((profile) -> profile.scaling() != null).toList() : List.of();
	}

	@Override
	public void handle(Exchange exchange, LeaderRunner runner) throws IOException {
		DemandReport report = exchange.readJson(DemandReport.class, MAX_REPORT_BYTES);
		long nowMillis = BootClock.nowMillis();
		if (runner.term(nowMillis).isEmpty()) {
			exchange.respondError(HttpStatus.SC_CONFLICT, "this process is not the leader");
			return;
		}
		String fault = this.demand.onReport(report, nowMillis);
		if (fault == null) {
			exchange.respondJson(HttpStatus.SC_OK, Map.of());
			return;
		}
		this.metrics.counter("scaling.report_rejected").inc();
		this.log.log(Event.DEMAND_REJECTED, "error", fault);
		exchange.respondError(HttpStatus.SC_BAD_REQUEST, fault);
	}

	/**
	 * Reports the demand of this gateway to the leader, which may be this process.
	 */
	@Override
	public void onTick(LeaderRunner runner) {
		long nowMillis = BootClock.nowMillis();
		long intervalMillis = nowMillis - this.reportedMillis;
		GatewayContext attached = this.context;
		if (attached == null || intervalMillis < REPORT_INTERVAL_MILLIS) {
			return;
		}
		List<ServiceProfile.Engines> services = scaledServices(attached);
		if (services.isEmpty()) {
			return;
		}
		DemandMeter meter = attached.demandMeter();
		DemandReport report = new DemandReport(this.settings.vm(), this.settings.dispatch().dataCentre(),
				services.stream().map((service) -> meter.take(service.name(), intervalMillis)).toList());
		boolean first = this.reportedMillis < 0;
		this.reportedMillis = nowMillis;
		Lease lease = runner.lastSeen();
		if (!first && lease != null) {
			send(report, lease.address());
		}
	}

	private void send(DemandReport report, Address leader) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", PATH);
		request.setHeader("Content-Type", "application/json");
		try {
			if (this.pool.exchange(leader, request, Json.bytes(report), RESPONSE_LIMITS).ok()) {
				return;
			}
		}
		catch (IOException ex) {
			// The next report follows in a second; the leader does without it until then.
		}
		this.metrics.counter("scaling.report_failed").inc();
	}

}
