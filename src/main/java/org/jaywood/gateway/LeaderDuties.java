package org.jaywood.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.leader.LeaderElection;
import org.jaywood.leader.LeaseTiming;
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

	private final EventLog log;

	private LeaderDuties(LeaderRunner runner, List<Duty> duties, EventLog log) {
		this.runner = runner;
		this.duties = duties;
		this.log = log;
	}

	static LeaderDuties create(GatewaySettings settings, LeaderPorts ports, GatewayContext context) {
		LeaderElection election = new LeaderElection(settings.vm(), settings.operatorAddress(),
				UUID.randomUUID().toString(), LeaseTiming.of(ports.settings().leaseMillis()), new Random());
		List<Duty> duties = new ArrayList<>();
		// Each duty is added here, if the settings name it.
		if (ports.settings().names().contains(ScalingDuty.NAME)) {
			duties.add(ScalingDuty.create(settings, ports, context, election::lastSeen));
		}
		LeaderRunner runner = new LeaderRunner(election, ports.leases(), duties.stream().map(Duty::task).toList(),
				context.metrics(), context.log());
		return new LeaderDuties(runner, List.copyOf(duties), context.log());
	}

	/**
	 * Adds the routes of the reports to the operator port.
	 */
	void addRoutes(HttpPort port) {
		this.duties.forEach((duty) -> port.route("POST", duty.path(), duty.handler()));
	}

	/**
	 * Starts the election, the tasks and the reports.
	 */
	void start() {
		this.runner.start();
		this.duties.forEach((duty) -> DaemonThreads.startDaemon("report-" + duty.task().name(),
				() -> new TaskGuard("report-" + duty.task().name(), this.log).repeat(() -> {
					duty.onTick().run();
					TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
				}, () -> false)));
	}

	/**
	 * Returns the state for the operator.
	 */
	Map<String, Object> describe(long nowMillis) {
		return this.runner.describe(nowMillis);
	}

}
