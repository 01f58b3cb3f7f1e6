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
 * The duties that one gateway has at a time: election of that gateway, the tasks of the
 * leader, and the reports of all gateways to it.
 */
final class LeaderDuties {

	private static final long TICK_MILLIS = 100;

	private final LeaderRunner runner;

	private final List<Duty> duties;

	private final CallMeter meter;

	private final @Nullable ScalingDuty scaling;

	private final EventLog log;

	private LeaderDuties(LeaderRunner runner, List<Duty> duties, CallMeter meter, @Nullable ScalingDuty scaling,
			EventLog log) {
		this.runner = runner;
		this.duties = duties;
		this.meter = meter;
		this.scaling = scaling;
		this.log = log;
	}

	/**
	 * Creates the duties that the settings name.
	 * @return the duties, or null if there are none
	 */
	static @Nullable LeaderDuties create(GatewaySettings settings, LeaderPorts ports, GatewayMetrics metrics,
			EventLog log) {
		String process = UUID.randomUUID().toString();
		// Each duty that the settings may name is added here.
		List<Duty> duties = new ArrayList<>();
		CallMeter meter = CallMeter.NONE;
		if (ports.settings().names().contains(UsageTask.NAME)) {
			UsageDuty usage = new UsageDuty(process, ports, metrics, log);
			duties.add(usage);
			meter = usage;
		}
		ScalingDuty scaling = null;
		if (ports.settings().names().contains(ScalingTask.NAME)) {
			scaling = new ScalingDuty(settings, ports, metrics, log);
			duties.add(scaling);
		}
		if (duties.isEmpty()) {
			return null;
		}
		LeaderElection election = new LeaderElection(settings.vm(), settings.operatorAddress(), process,
				LeaseTiming.of(ports.settings().leaseMillis()), new Random());
		LeaderRunner runner = new LeaderRunner(election, ports.leases(), duties.stream().map(Duty::task).toList(),
				metrics, log);
		return new LeaderDuties(runner, List.copyOf(duties), meter, scaling, log);
	}

	/**
	 * Returns what counts the calls of this gateway.
	 */
	CallMeter meter() {
		return this.meter;
	}

	/**
	 * Gives the duties what this gateway knows. Called once, before the start.
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
		this.duties
			.forEach((duty) -> port.route("POST", duty.path(), (exchange) -> duty.handle(exchange, this.runner)));
	}

	/**
	 * Starts the election, the tasks and the reports.
	 */
	void start() {
		this.runner.start();
		this.duties.forEach((duty) -> {
			String name = "report-" + duty.task().name();
			DaemonThreads.startDaemon(name, () -> new TaskGuard(name, this.log).repeat(() -> {
				duty.onTick(this.runner);
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
