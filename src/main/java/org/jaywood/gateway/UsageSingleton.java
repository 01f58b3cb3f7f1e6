package org.jaywood.gateway;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedResponse;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.ResponseLimits;
import org.jaywood.leader.LeaderTask;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.leader.Lease;
import org.jaywood.metering.CountCopies;
import org.jaywood.metering.TrueTime;
import org.jaywood.metering.UsageConfirmation;
import org.jaywood.metering.UsageCounter;
import org.jaywood.metering.UsageFallback;
import org.jaywood.metering.UsageMessage;
import org.jaywood.metering.UsageReporter;
import org.jaywood.metering.UsageTask;
import org.jaywood.metering.UsageWindows;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Json;

/**
 * Usage of workspaces: each gateway counts its calls and tells the leader, which reports
 * the total of each window to the platform.
 */
final class UsageSingleton implements ClusterSingleton, CallMeter {

	private static final String PATH = "/v1/usage";

	private static final int MAX_REPORT_BYTES = 2 * 1024 * 1024;

	/** Room for the leader's own counts, 16 KB at most. */
	private static final ResponseLimits RESPONSE_LIMITS = new ResponseLimits(400, 32 * 1024);

	private final String process;

	private final UsageCounter counter;

	private final UsageWindows windows;

	private final UsageReporter reporter;

	/** Counts of leaders and of earlier processes on this VM, for the next leader. */
	private final CountCopies copies = new CountCopies();

	private final TrueTime trueTime = new TrueTime(BootClock.nowMillis(), System.currentTimeMillis());

	private final UsageFallback fallback;

	private final UsageTask task;

	private final GatewayMetrics metrics;

	private final ConnectionPool pool = new ConnectionPool();

	/**
	 * Creates the singleton.
	 * @param process random id of this process
	 */
	UsageSingleton(String process, LeaderPorts ports, GatewayMetrics metrics, EventLog log) {
		this.windows = new UsageWindows(ports.settings().usageWindowMillis(), ports.settings().usageDueMillis());
		this.process = process;
		this.counter = new UsageCounter(this.windows);
		long nowMillis = BootClock.nowMillis();
		this.reporter = new UsageReporter(this.windows.windowAt(this.trueTime.at(nowMillis)), nowMillis);
		this.fallback = new UsageFallback(process, this.copies, ports.usageCounts());
		this.task = new UsageTask(this.windows, this.trueTime, ports.usage(), ports.usageCounts(), process,
				this.counter, BootClock::nowMillis, log);
		this.metrics = metrics;
		metrics.registry().gauge("usage.last_sealed", () -> () -> this.task.lastSealed());
		metrics.registry().gauge("usage.last_accepted", () -> () -> this.task.lastAccepted());
		metrics.registry().gauge("usage.dropped", () -> () -> this.counter.dropped() + this.task.dropped());
	}

	@Override
	public void record(String workspace, long nowMillis) {
		this.counter.record(workspace, this.trueTime.at(nowMillis));
	}

	@Override
	public LeaderTask task() {
		return this.task;
	}

	@Override
	public String path() {
		return PATH;
	}

	@Override
	public void handle(Exchange exchange, LeaderRunner runner) throws IOException {
		UsageMessage message = exchange.readJson(UsageMessage.class, MAX_REPORT_BYTES);
		long nowMillis = BootClock.nowMillis();
		Optional<LeaderTerm> term = runner.term(nowMillis);
		if (term.isEmpty()) {
			exchange.respondError(HttpStatus.SC_CONFLICT, "this process is not the leader");
			return;
		}
		exchange.respondJson(HttpStatus.SC_OK, this.task.onMessage(message, term.get(), nowMillis));
	}

	@Override
	public void onTick(LeaderRunner runner) {
		long nowMillis = BootClock.nowMillis();
		this.trueTime.sample(nowMillis, System.currentTimeMillis());
		if (this.reporter.takeReport(this.windows.windowAt(this.trueTime.at(nowMillis)), nowMillis)) {
			report(runner);
		}
		if (this.reporter.takeFallback(BootClock.nowMillis())) {
			store();
		}
	}

	private void report(LeaderRunner runner) {
		Lease lease = runner.lastSeen();
		if (lease == null) {
			return;
		}
		Map<Long, Map<String, Long>> counts = this.counter.counts();
		try {
			BufferedResponse response = this.pool.exchange(lease.address(), new BasicClassicHttpRequest("POST", PATH),
					Json.bytes(new UsageMessage(this.process, counts, this.copies.allExcept(lease.process()))),
					RESPONSE_LIMITS);
			if (response.ok()) {
				UsageConfirmation confirmation = Json.read(response.body(), UsageConfirmation.class);
				runner.onTokenSeen(confirmation.token());
				this.counter.onReported(counts, confirmation.sealed());
				this.copies.onConfirmed(confirmation);
				this.reporter.onConfirmed(BootClock.nowMillis());
				return;
			}
		}
		catch (IOException | BadInputException ex) {
			// Sent again with the next report; the store takes the counts meanwhile.
		}
		this.metrics.counter("usage.report_failed").inc();
	}

	private void store() {
		Map<Long, Map<String, Long>> counts = this.counter.counts();
		if (counts.isEmpty()) {
			return;
		}
		try {
			this.fallback.write(counts);
			this.metrics.counter("usage.stored").inc();
		}
		catch (IOException ex) {
			this.metrics.counter("usage.store_failed").inc();
		}
	}

}
