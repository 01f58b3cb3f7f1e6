package org.jaywood.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.leader.LeaderElection;
import org.jaywood.leader.LeaseTiming;
import org.jaywood.metering.UsageTask;
import org.jaywood.scaling.ScalingTask;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.HttpPort;

/**
 * The singletons that one gateway has at a time: election of that gateway, the tasks of
 * the leader, and the reports of all gateways to it.
 */
final class ClusterSingletons {

	private static final long TICK_MILLIS = 100;

	private final LeaderRunner runner;

	private final List<ClusterSingleton> singletons;

	private final CallMeter meter;

	private final @Nullable ScalingSingleton scaling;

	private final EventLog log;

	private ClusterSingletons(LeaderRunner runner, List<ClusterSingleton> singletons, CallMeter meter,
			@Nullable ScalingSingleton scaling, EventLog log) {
		this.runner = runner;
		this.singletons = singletons;
		this.meter = meter;
		this.scaling = scaling;
		this.log = log;
	}

	/**
	 * Creates the singletons that the settings name.
	 * @return the singletons, or null if there are none
	 */
	static @Nullable ClusterSingletons create(GatewaySettings settings, LeaderPorts ports, GatewayMetrics metrics,
			EventLog log) {
		String process = UUID.randomUUID().toString();
		// Each singleton that the settings may name is added here.
		List<ClusterSingleton> singletons = new ArrayList<>();
		CallMeter meter = CallMeter.NONE;
		if (ports.settings().names().contains(UsageTask.NAME)) {
			UsageSingleton usage = new UsageSingleton(process, ports, metrics, log);
			singletons.add(usage);
			meter = usage;
		}
		ScalingSingleton scaling = null;
		if (ports.settings().names().contains(ScalingTask.NAME)) {
			scaling = new ScalingSingleton(settings, ports, metrics, log);
			singletons.add(scaling);
		}
		if (singletons.isEmpty()) {
			return null;
		}
		LeaderElection election = new LeaderElection(settings.vm(), settings.operatorAddress(), process,
				LeaseTiming.of(ports.settings().leaseMillis()), new Random());
		LeaderRunner runner = new LeaderRunner(election, ports.leases(),
				singletons.stream().map(ClusterSingleton::task).toList(), metrics, log);
		return new ClusterSingletons(runner, List.copyOf(singletons), meter, scaling, log);
	}

	/**
	 * Returns what counts the calls of this gateway.
	 */
	CallMeter meter() {
		return this.meter;
	}

	/**
	 * Gives the singletons what this gateway knows. Called once, before the start.
	 */
	void attach(GatewayContext context) {
		if (this.scaling != null) {
			this.scaling.attach(context);
		}
	}

	/**
	 * Adds the routes of the reports to the operator port.
	 */
	void addRoutes(HttpPort port) {
		this.singletons.forEach((singleton) -> port.route("POST", singleton.path(),
				(exchange) -> singleton.handle(exchange, this.runner)));
	}

	/**
	 * Starts the election, the tasks and the reports.
	 */
	void start() {
		this.runner.start();
		this.singletons.forEach((singleton) -> {
			String name = "report-" + singleton.task().name();
			DaemonThreads.startDaemon(name, () -> new TaskGuard(name, this.log).repeat(() -> {
				singleton.onTick(this.runner);
				TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
			}, () -> false));
		});
	}

	/**
	 * Returns the state for the operator.
	 */
	Map<String, Object> describe(long nowMillis) {
		return this.runner.describe(nowMillis);
	}

}
