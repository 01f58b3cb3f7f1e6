package org.jaywood.replica;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

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
 * Downloads the versions that the engine is to load, one after the other. The next
 * version is downloaded already while the engine still finishes calls before it loads the
 * current one.
 */
final class DownloadManager {

	private static final long PENDING_CHECK_MILLIS = 50;

	/** Maximum time between checks while no version is missing. */
	private static final long MAX_CHECK_INTERVAL_MILLIS = 1_000;

	private static final long FAILURE_DELAY_MILLIS = 200;

	private final ServiceState serviceState;

	private final EngineControl engine;

	private final EngineMonitor monitor;

	private final Rollout rollout;

	private final ChunkDownloader downloader;

	private final EventLog log;

	private final TaskGuard guard;

	private final Map<ModelVersion, WeightsDownload> downloads = new ConcurrentHashMap<>();

	/** Signalled when a download starts. */
	private final ChangeSignal downloadStarts = new ChangeSignal();

	private volatile boolean closed;

	DownloadManager(ServiceState serviceState, EngineControl engine, EngineMonitor monitor, Rollout rollout,
			ChunkDownloader downloader, EventLog log) {
		this.serviceState = serviceState;
		this.engine = engine;
		this.monitor = monitor;
		this.rollout = rollout;
		this.downloader = downloader;
		this.log = log;
		this.guard = new TaskGuard("keep-copies", log);
	}

	DownloadManager start() {
		DaemonThreads.startDaemon("keep-copies", this::run);
		return this;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Returns the download of a version, or null if it has not started.
	 */
	@Nullable WeightsDownload findDownload(ModelVersion version) {
		return this.downloads.get(version);
	}

	/**
	 * Waits until the download of a version has started.
	 * @return the download, or null if it does not start in time
	 */
	@Nullable WeightsDownload awaitDownload(ModelVersion version, long waitMillis) throws InterruptedException {
		long deadlineMillis = BootClock.nowMillis() + waitMillis;
		long seenCount = this.downloadStarts.changeCount();
		WeightsDownload download = findDownload(version);
		while (download == null && BootClock.nowMillis() < deadlineMillis) {
			this.downloadStarts.await(seenCount, deadlineMillis - BootClock.nowMillis());
			seenCount = this.downloadStarts.changeCount();
			download = findDownload(version);
		}
		return download;
	}

	private void run() {
		while (!this.closed) {
			try {
				long seenCount = this.serviceState.changes().changeCount();
				boolean noneMissing = downloadFirstMissing();
				this.serviceState.changes()
					.await(seenCount, noneMissing ? MAX_CHECK_INTERVAL_MILLIS : PENDING_CHECK_MILLIS);
			}
			catch (EngineUnavailableException | RuntimeException | Error ex) {
				this.guard.onError(ex);
				this.closed = this.closed || interruptedDuringDelay();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	/**
	 * Downloads the first missing version. An engine that is leaving downloads nothing:
	 * it gets no more calls, and the links are needed by the other engines.
	 * @return whether no version is missing
	 */
	private boolean downloadFirstMissing() throws EngineUnavailableException, InterruptedException {
		Optional<Upstream> ownEngine = this.serviceState.ownEngine();
		Optional<ServiceProfile.Engines> profile = this.serviceState.profile();
		EngineReport report = this.monitor.latestReport();
		if (ownEngine.isEmpty() || profile.isEmpty() || report == null) {
			return false;
		}
		if (ownEngine.get().leaving()) {
			return true;
		}
		adoptTarget();
		this.downloads.values().forEach(this::recordProgress);
		Optional<ModelVersion> missing = this.rollout.versionToFetch(BootClock.nowMillis())
			.filter((version) -> !report.serves(version, profile.get().layers()));
		if (missing.isPresent()) {
			try {
				downloadVersion(missing.get(), ownEngine.get());
			}
			catch (VersionGoneException ex) {
				onGone(missing.get(), ex);
			}
		}
		return missing.isEmpty();
	}

	private void adoptTarget() {
		this.serviceState.target()
			.ifPresent((targetVersion) -> this.rollout.onTargetVersion(targetVersion, BootClock.nowMillis()));
	}

	private void recordProgress(WeightsDownload download) {
		this.rollout.onProgress(download.chunkManifest().modelVersion(), download.chunkManifest().size(),
				download.missing().cardinality(), BootClock.nowMillis());
	}

	private boolean isNeeded(WeightsDownload download) {
		adoptTarget();
		recordProgress(download);
		boolean leaving = this.serviceState.ownEngine().filter(Upstream::leaving).isPresent();
		return !this.closed && !leaving
				&& this.rollout.versionToFetch(BootClock.nowMillis())
					.filter(download.chunkManifest().modelVersion()::equals)
					.isPresent();
	}

	private void onGone(ModelVersion version, VersionGoneException failure) {
		this.rollout.onGone(version);
		this.downloads.remove(version);
		this.log.log(Event.WEIGHTS_GONE, "model", version.model(), "version", version.version(), "error",
				failure.getMessage());
	}

	private void downloadVersion(ModelVersion version, Upstream ownEngine)
			throws EngineUnavailableException, InterruptedException, VersionGoneException {
		WeightsDownload download = this.downloads.get(version);
		if (download == null) {
			ChunkManifest manifest = this.downloader.loadManifest(version, ownEngine);
			if (manifest == null) {
				return;
			}
			download = new WeightsDownload(manifest);
			addStagedChunks(download);
			removeDownloadsBefore(version);
			this.downloads.put(version, download);
			this.downloadStarts.raise();
		}
		long startMillis = BootClock.nowMillis();
		WeightsDownload started = download;
		this.downloader.fetch(download, ownEngine, () -> isNeeded(started));
		recordProgress(download);
		if (download.isComplete()) {
			this.serviceState.changes().raise();
			this.log.log(Event.WEIGHTS_VERIFIED, "manifest", version.model() + "/" + version.version(), "chunks",
					download.chunkManifest().size(), "seconds", (BootClock.nowMillis() - startMillis) / 1000.0);
		}
	}

	/**
	 * Removes downloads of old versions, which peers may still ask for one version back.
	 * One that the engine is to load is kept.
	 */
	private void removeDownloadsBefore(ModelVersion version) {
		Optional<ModelVersion> target = this.rollout.target(BootClock.nowMillis());
		this.downloads.keySet()
			.removeIf((other) -> other.version() < version.version() - 1 && !target.equals(Optional.of(other)));
	}

	/**
	 * Adds the chunks that were staged before a restart of this agent.
	 */
	private void addStagedChunks(WeightsDownload download) throws EngineUnavailableException {
		for (int index = 0; index < download.chunkManifest().size(); index++) {
			byte[] chunk = this.engine.readStaged(download.chunkManifest().model(), index);
			if (chunk == null || !download.addIfValid(index, chunk)) {
				// The staged chunks are missing or belong to another version.
				return;
			}
		}
	}

	private static boolean interruptedDuringDelay() {
		try {
			Thread.sleep(FAILURE_DELAY_MILLIS);
			return false;
		}
		catch (InterruptedException ex) {
			return true;
		}
	}

}
