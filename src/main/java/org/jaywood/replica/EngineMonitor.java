package org.jaywood.replica;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.EvidenceMessage;
import org.jaywood.routing.TimedReport;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.UpstreamReport;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Json;

/**
 * Polls the engine for its state at short intervals, which costs nothing on its own VM,
 * and lets gateways wait for the next change.
 */
final class EngineMonitor {

	/** Interval while calls or orders may change the state at any time. */
	private static final long BUSY_INTERVAL_MILLIS = 100;

	/** Interval while an engine with weights runs no call or order. */
	private static final long IDLE_INTERVAL_MILLIS = 250;

	private static final byte[] LINE_SUFFIX = "}\n".getBytes(StandardCharsets.UTF_8);

	private final ServiceState serviceState;

	private final EngineControl engine;

	private final String address;

	private final EventLog log;

	private final TaskGuard guard;

	private final AtomicInteger subscribedGateways = new AtomicInteger();

	private @Nullable EngineReport latestReport;

	/** Null while nothing is known of the engine, or of its store entry. */
	private @Nullable UpstreamReport publishedReport;

	private byte[] reportJson = reportJson(this.publishedReport);

	private long changeCount;

	/** Start time of the incarnation that answered last, 0 if none has. */
	private volatile long bornMillis;

	/** Start time of the last incarnation that ended, 0 if none has. */
	private long endedBornMillis;

	private final EngineReachability reachability = new EngineReachability();

	private boolean engineLost = true;

	private volatile boolean closed;

	EngineMonitor(ServiceState serviceState, EngineControl engine, String address, EventLog log) {
		this.serviceState = serviceState;
		this.engine = engine;
		this.address = address;
		this.log = log;
		this.guard = new TaskGuard("monitor-engine", log);
	}

	EngineMonitor start() {
		DaemonThreads.startDaemon("monitor-engine", this::run);
		return this;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Returns the latest state, or null while the engine does not answer.
	 */
	synchronized @Nullable EngineReport latestReport() {
		return this.latestReport;
	}

	/**
	 * Whether the engine runs calls or may get some at any time, since it answers and
	 * serves weights.
	 */
	synchronized boolean mayRunCalls() {
		return this.latestReport != null && this.latestReport.weights() != null;
	}

	/**
	 * Returns the counter of the gateways that receive reports.
	 */
	AtomicInteger subscribedGateways() {
		return this.subscribedGateways;
	}

	/**
	 * Waits for a report that differs from the last one seen.
	 * @param seenCount number of changes up to the last report seen
	 * @param waitMillis maximum wait
	 */
	synchronized NumberedReport await(long seenCount, long waitMillis) throws InterruptedException {
		long deadlineMillis = BootClock.nowMillis() + waitMillis;
		long remainingMillis = waitMillis;
		while (this.changeCount == seenCount && remainingMillis > 0) {
			wait(remainingMillis);
			remainingMillis = deadlineMillis - BootClock.nowMillis();
		}
		return new NumberedReport(this.changeCount, this.reportJson);
	}

	private void run() {
		while (!this.closed) {
			this.guard.run(this::refresh);
			try {
				Thread.sleep(intervalMillis(latestReport()));
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static long intervalMillis(@Nullable EngineReport report) {
		boolean idle = report != null && report.weights() != null && !report.orderInProgress()
				&& report.running() + report.queued() == 0;
		return idle ? IDLE_INTERVAL_MILLIS : BUSY_INTERVAL_MILLIS;
	}

	/**
	 * Polls the engine now.
	 */
	void refresh() {
		try {
			onAnswer(this.engine.report());
		}
		catch (EngineUnavailableException ex) {
			onFailure(ex);
		}
	}

	private synchronized void onAnswer(EngineReport report) {
		this.reachability.onAnswer(BootClock.nowMillis());
		publish(report);
	}

	private synchronized void onFailure(EngineUnavailableException failure) {
		boolean lost = this.reachability.onFailure(failure.ended(), BootClock.nowMillis());
		if (failure.ended()) {
			onEnded(this.bornMillis);
		}
		if (!lost) {
			return;
		}
		if (!this.engineLost) {
			this.log.log(Event.ENGINE_LOST, "address", this.address, "error", failure.getMessage(), "ended",
					failure.ended(), "born", this.bornMillis);
		}
		this.engineLost = true;
		publish(null);
	}

	private synchronized void onEnded(long endedMillis) {
		this.endedBornMillis = Math.max(this.endedBornMillis, endedMillis);
	}

	/**
	 * Has all gateways sent a line now, although the state of the engine is the same.
	 */
	synchronized void wakeGateways() {
		this.changeCount++;
		notifyAll();
	}

	private synchronized void publish(@Nullable EngineReport report) {
		if (!requiresSameOrders(this.latestReport, report)) {
			this.serviceState.changes().raise();
		}
		this.latestReport = report;
		if (report != null && report.bornMillis() != this.bornMillis) {
			onEnded(this.bornMillis);
			this.bornMillis = report.bornMillis();
		}
		if (report != null && this.engineLost) {
			this.engineLost = false;
			this.log.log(Event.ENGINE_FOUND, "address", this.address, "weights", String.valueOf(report.weights()));
		}
		UpstreamReport upstreamReport = createReport(report);
		if (!Objects.equals(upstreamReport, this.publishedReport)) {
			this.reportJson = reportJson(upstreamReport);
			this.publishedReport = upstreamReport;
			this.changeCount++;
			notifyAll();
		}
	}

	/**
	 * Whether two reports are equal in all that orders depend on.
	 */
	private static boolean requiresSameOrders(@Nullable EngineReport previous, @Nullable EngineReport current) {
		if (previous == null || current == null) {
			return previous == current;
		}
		return previous.bornMillis() == current.bornMillis() && previous.orderInProgress() == current.orderInProgress()
				&& Objects.equals(previous.weights(), current.weights());
	}

	private static byte[] reportJson(@Nullable UpstreamReport report) {
		String json = (report != null) ? Json.text(report) : "null";
		return json.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns what gateways are told, null while the engine answers and the agent, which
	 * has just started, does not know the store entry of the engine: gateways would take
	 * a report without the id of the entry for an engine that does not answer.
	 */
	private @Nullable UpstreamReport createReport(@Nullable EngineReport report) {
		Optional<Upstream> ownEngine = this.serviceState.ownEngine();
		if (report != null && ownEngine.isEmpty()) {
			return null;
		}
		boolean storeContact = this.serviceState.hasStoreContact(BootClock.nowMillis());
		if (report == null || ownEngine.isEmpty() || ownEngine.get().bornMillis() != report.bornMillis()) {
			return new UpstreamReport("", 0, 0, false, this.subscribedGateways.get(), storeContact,
					this.endedBornMillis, null);
		}
		return new UpstreamReport(ownEngine.get().id(), report.running(), report.queued(), report.orderInProgress(),
				this.subscribedGateways.get(), storeContact, this.endedBornMillis, report.weights());
	}

	/**
	 * A report and the number of changes up to it.
	 *
	 * @param number number of changes
	 * @param json the report as JSON
	 */
	record NumberedReport(long number, byte[] json) {

		/**
		 * Returns the line to send, a {@link TimedReport}. The report is encoded once for
		 * all gateways.
		 * @param evidence what the gateway has not been told yet
		 */
		byte[] line(EvidenceMessage evidence, long nowMillis) {
			String evidenceField = evidence.empty() ? "" : "\"evidence\":" + Json.text(evidence) + ",";
			byte[] prefix = ("{\"sentMillis\":" + nowMillis + "," + evidenceField + "\"report\":")
				.getBytes(StandardCharsets.UTF_8);
			return ByteBuffer.allocate(prefix.length + this.json.length + LINE_SUFFIX.length)
				.put(prefix)
				.put(this.json)
				.put(LINE_SUFFIX)
				.array();
		}

	}

}
