package org.jaywood.replica;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.DaemonThreads;

/**
 * Brings the engine to the named version, again and again: after a new version is named,
 * after a restart, and when it is empty. What lies beside the engine is compared with the
 * verified pieces right before each order, since it may turn bad there.
 */
final class EngineReconciler {

	/** Interval of checks while the engine does not serve the named version. */
	private static final long PENDING_CHECK_MILLIS = 100;

	/** Longest time without a check. */
	private static final long MAX_CHECK_INTERVAL_MILLIS = 1_000;

	private final ServiceState serviceState;

	private final EngineControl engine;

	private final DownloadManager downloads;

	private final EngineMonitor monitor;

	private final EventLog log;

	private final Rollout rollout;

	private @Nullable ModelVersion servedVersion;

	private volatile boolean closed;

	EngineReconciler(ServiceState fleet, EngineControl engine, Rollout rollout, DownloadManager copies,
			EngineMonitor monitor, EventLog log) {
		this.serviceState = fleet;
		this.engine = engine;
		this.rollout = rollout;
		this.downloads = copies;
		this.monitor = monitor;
		this.log = log;
	}

	EngineReconciler start() {
		DaemonThreads.start("keep-engine", this::run);
		return this;
	}

	void close() {
		this.closed = true;
	}

	private void run() {
		while (!this.closed) {
			try {
				long seen = this.serviceState.changes().changeCount();
				reconcile();
				this.serviceState.changes()
					.await(seen, (this.servedVersion != null) ? MAX_CHECK_INTERVAL_MILLIS : PENDING_CHECK_MILLIS);
			}
			catch (EngineUnavailableException ex) {
				this.log.log(Event.ORDER_FAILED, "order", "load", "error", ex.getMessage());
				pauseAfterFailure();
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				this.log.log(Event.TASK_FAILED, "task", "keep-engine", "error", ex);
				pauseAfterFailure();
			}
		}
	}

	private void reconcile() throws EngineUnavailableException, InterruptedException {
		Optional<ModelVersion> named = this.serviceState.target();
		Optional<Upstream> own = this.serviceState.ownEngine();
		EngineReport report = this.monitor.latest();
		if (named.isEmpty() || own.isEmpty() || report == null) {
			return;
		}
		this.rollout.onTargetVersion(named.get(), BootClock.nowMillis());
		ModelVersion target = this.rollout.target();
		if (serves(report, target)) {
			onTargetServed(target);
			this.rollout.onServed(target);
			return;
		}
		this.servedVersion = null;
		if (report.orderInProgress()) {
			return;
		}
		WeightsDownload copy = this.downloads.download(target);
		if (copy != null && copy.complete() && mayLoadNow(target, own.get(), report)) {
			stageAndLoad(copy, target);
		}
	}

	/**
	 * Whether the engine may load now. Engines that run calls take turns.
	 */
	private boolean mayLoadNow(ModelVersion target, Upstream own, EngineReport report) {
		return report.weights() == null
				|| this.rollout.mayLoad(target, own, this.serviceState.engines(), BootClock.nowMillis());
	}

	private boolean serves(EngineReport report, ModelVersion target) {
		int layers = this.serviceState.profile().map(ServiceProfile.Engines::layers).orElse(Integer.MAX_VALUE);
		return report.serves(target, layers);
	}

	private void onTargetServed(ModelVersion target) {
		if (!target.equals(this.servedVersion)) {
			this.servedVersion = target;
			this.log.log(Event.WEIGHTS_ACTIVATED, "manifest", target.model() + "/" + target.version());
		}
	}

	private void stageAndLoad(WeightsDownload copy, ModelVersion target) throws EngineUnavailableException {
		int replaced = 0;
		for (int index : IntStream.range(0, copy.chunkManifest().size()).toArray()) {
			byte[] staged = this.engine.staged(target.model(), index);
			if (!Arrays.equals(staged, copy.chunkAt(index))) {
				this.engine.stage(target.model(), index, copy.chunkAt(index));
				replaced++;
			}
		}
		this.log.log(Event.PIECES_STAGED, "count", replaced, "model", target.model(), "version", target.version());
		EngineReport report = this.engine.report();
		if (report.orderInProgress() || serves(report, target)) {
			return;
		}
		boolean accepted = this.engine.load(target.model(), target.version(), report.sequence());
		if (accepted) {
			this.log.log(Event.ORDER_ACCEPTED, "model", target.model(), "version", target.version(), "sequence",
					report.sequence());
			this.monitor.refresh();
		}
		else {
			this.log.log(Event.ORDER_FAILED, "order", "load " + target, "error",
					"refused at sequence " + report.sequence());
		}
	}

	private void pauseAfterFailure() {
		try {
			Thread.sleep(PENDING_CHECK_MILLIS * 2);
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
	}

}
