package org.jaywood.replica;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.TimedReport;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.UpstreamReport;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Json;

/**
 * Asks the engine for its state at short intervals, which is free on its own VM, and lets
 * gateways wait for the next change.
 */
final class EngineMonitor {

	/** Interval while calls or orders change the state at any moment. */
	private static final long BUSY_INTERVAL_MILLIS = 100;

	/** Interval while an engine with weights has nothing to do. */
	private static final long IDLE_INTERVAL_MILLIS = 250;

	private static final byte[] LINE_END = "}\n".getBytes(StandardCharsets.UTF_8);

	private final ServiceState fleet;

	private final EngineControl engine;

	private final String address;

	private final EventLog log;

	private final AtomicInteger gateways = new AtomicInteger();

	private @Nullable EngineReport latest;

	private UpstreamReport published = new UpstreamReport("", 0, 0, false, 0, true, null);

	private byte[] json = json(this.published);

	private long changes;

	private boolean lost = true;

	private volatile boolean closed;

	EngineMonitor(ServiceState fleet, EngineControl engine, String address, EventLog log) {
		this.fleet = fleet;
		this.engine = engine;
		this.address = address;
		this.log = log;
	}

	EngineMonitor start() {
		DaemonThreads.start("monitor-engine", this::run);
		return this;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * The latest state, or null while the engine does not answer.
	 */
	synchronized @Nullable EngineReport latest() {
		return this.latest;
	}

	/**
	 * Whether the engine runs calls or will soon: one that answers and holds weights gets
	 * calls at any moment.
	 */
	synchronized boolean mayRunCalls() {
		return this.latest != null && this.latest.weights() != null;
	}

	/**
	 * Counts the gateways that receive reports.
	 */
	AtomicInteger gateways() {
		return this.gateways;
	}

	/**
	 * Waits for a report that differs from those seen before.
	 * @param seen number of the change seen last
	 * @param waitMillis longest wait
	 */
	synchronized Change await(long seen, long waitMillis) throws InterruptedException {
		long untilMillis = BootClock.nowMillis() + waitMillis;
		long leftMillis = waitMillis;
		while (this.changes == seen && leftMillis > 0) {
			wait(leftMillis);
			leftMillis = untilMillis - BootClock.nowMillis();
		}
		return new Change(this.changes, this.json);
	}

	private void run() {
		while (!this.closed) {
			try {
				refresh();
			}
			catch (RuntimeException | Error ex) {
				this.log.log(Event.TASK_FAILED, "task", "monitor-engine", "error", ex);
			}
			try {
				Thread.sleep(intervalMillis(latest()));
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
	 * Asks the engine now.
	 */
	void refresh() {
		try {
			publish(this.engine.report());
		}
		catch (EngineUnavailableException ex) {
			if (!this.lost) {
				this.log.log(Event.ENGINE_LOST, "address", this.address, "error", ex.getMessage());
			}
			this.lost = true;
			publish(null);
		}
	}

	private synchronized void publish(@Nullable EngineReport report) {
		if (!sameEngine(this.latest, report)) {
			this.fleet.changes().raise();
		}
		this.latest = report;
		if (report != null && this.lost) {
			this.lost = false;
			this.log.log(Event.ENGINE_FOUND, "address", this.address, "weights", String.valueOf(report.weights()));
		}
		UpstreamReport next = describe(report);
		if (!next.equals(this.published)) {
			this.json = json(next);
			this.published = next;
			this.changes++;
			notifyAll();
		}
	}

	/**
	 * Whether two reports differ in nothing that orders depend on.
	 */
	private static boolean sameEngine(@Nullable EngineReport before, @Nullable EngineReport now) {
		if (before == null || now == null) {
			return before == now;
		}
		return before.bornMillis() == now.bornMillis() && before.orderInProgress() == now.orderInProgress()
				&& Objects.equals(before.weights(), now.weights());
	}

	private static byte[] json(UpstreamReport report) {
		return Json.text(report).getBytes(StandardCharsets.UTF_8);
	}

	private UpstreamReport describe(@Nullable EngineReport report) {
		Optional<Upstream> entry = this.fleet.ownEngine();
		boolean informed = this.fleet.hasStoreContact(BootClock.nowMillis());
		if (report == null || entry.isEmpty() || entry.get().bornMillis() != report.bornMillis()) {
			return new UpstreamReport("", 0, 0, false, this.gateways.get(), informed, null);
		}
		return new UpstreamReport(entry.get().id(), report.running(), report.queued(), report.orderInProgress(),
				this.gateways.get(), informed, report.weights());
	}

	/**
	 * A report and the number of changes up to it.
	 *
	 * @param number number of changes
	 * @param json the report as JSON
	 */
	record Change(long number, byte[] json) {

		/**
		 * The line to send, a {@link TimedReport}. The report is encoded once for all
		 * gateways.
		 */
		byte[] line(long nowMillis) {
			byte[] head = ("{\"sentMillis\":" + nowMillis + ",\"report\":").getBytes(StandardCharsets.UTF_8);
			return ByteBuffer.allocate(head.length + this.json.length + LINE_END.length)
				.put(head)
				.put(this.json)
				.put(LINE_END)
				.array();
		}

	}

}
