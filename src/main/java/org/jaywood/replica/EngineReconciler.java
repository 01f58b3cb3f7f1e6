package org.jaywood.replica;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.DaemonThreads;

/**
 * Reconciles the engine with the target version: after a new target version, after a
 * restart, and when the engine has no weights.
 */
final class EngineReconciler {

	/** Interval of checks while the engine does not serve the target version. */
	private static final long PENDING_CHECK_MILLIS = 100;

	/** Maximum time between checks. */
	private static final long MAX_CHECK_INTERVAL_MILLIS = 1_000;

	private final ServiceState serviceState;

	private final WeightsLoader loader;

	private final DownloadManager downloads;

	private final EngineMonitor monitor;

	private final EventLog log;

	private final Rollout rollout;

	private final TaskGuard guard;

	private @Nullable ModelVersion servedVersion;

	private volatile boolean closed;

	EngineReconciler(ServiceState serviceState, WeightsLoader loader, Rollout rollout, DownloadManager downloads,
			EngineMonitor monitor, EventLog log) {
		this.serviceState = serviceState;
		this.loader = loader;
		this.rollout = rollout;
		this.downloads = downloads;
		this.monitor = monitor;
		this.log = log;
		this.guard = new TaskGuard("keep-engine", log);
	}

	EngineReconciler start() {
		DaemonThreads.startDaemon("keep-engine", this::run);
		return this;
	}

	void close() {
		this.closed = true;
	}

	private void run() {
		while (!this.closed) {
			try {
				long seenCount = this.serviceState.changes().changeCount();
				reconcile();
				this.serviceState.changes()
					.await(seenCount, (this.servedVersion != null) ? MAX_CHECK_INTERVAL_MILLIS : PENDING_CHECK_MILLIS);
			}
			catch (EngineUnavailableException ex) {
				this.log.log(Event.ORDER_FAILED, "order", "load", "error", ex.getMessage());
				delayAfterFailure();
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException | Error ex) {
				this.guard.onError(ex);
				delayAfterFailure();
			}
		}
	}

	private void reconcile() throws EngineUnavailableException, InterruptedException {
		Optional<ModelVersion> targetVersion = this.serviceState.target();
		Optional<Upstream> ownEngine = this.serviceState.ownEngine();
		Optional<ServiceProfile.Engines> profile = this.serviceState.profile();
		EngineReport report = this.monitor.latestReport();
		if (targetVersion.isEmpty() || ownEngine.isEmpty() || profile.isEmpty() || report == null) {
			return;
		}
		this.rollout.onTargetVersion(targetVersion.get(), BootClock.nowMillis());
		this.rollout.versions()
			.stream()
			.filter((version) -> report.serves(version, profile.get().layers()))
			.forEach(this.rollout::onServed);
		Optional<ModelVersion> chosen = this.rollout.target(BootClock.nowMillis());
		if (chosen.isEmpty()) {
			return;
		}
		ModelVersion target = chosen.get();
		if (report.serves(target, profile.get().layers())) {
			onTargetServed(target);
			return;
		}
		this.servedVersion = null;
		if (report.orderInProgress()) {
			return;
		}
		WeightsDownload download = this.downloads.findDownload(target);
		if (download != null && download.isComplete() && mayLoadNow(target, ownEngine.get(), report)) {
			boolean accepted = this.loader.load(download, profile.get().layers());
			if (accepted) {
				this.monitor.refresh();
			}
		}
	}

	/**
	 * Whether the engine may load now: at once while it has no weights, else when its
	 * half of the engines loads.
	 */
	private boolean mayLoadNow(ModelVersion target, Upstream ownEngine, EngineReport report) {
		return report.weights() == null
				|| this.rollout.mayLoad(target, ownEngine, this.serviceState.engines(), BootClock.nowMillis());
	}

	private void onTargetServed(ModelVersion target) {
		if (!target.equals(this.servedVersion)) {
			this.servedVersion = target;
			this.log.log(Event.WEIGHTS_ACTIVATED, "manifest", target.model() + "/" + target.version());
		}
	}

	private void delayAfterFailure() {
		try {
			Thread.sleep(PENDING_CHECK_MILLIS * 2);
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
	}

}
