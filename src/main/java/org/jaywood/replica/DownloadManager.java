package org.jaywood.replica;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.DaemonThreads;

/**
 * Fetches the versions that the engine is to load, one after the other: the link carries
 * the next version already while the engine still finishes calls before it loads the
 * present one.
 */
final class DownloadManager {

	private static final long PENDING_CHECK_MILLIS = 50;

	/** Longest time without a check while nothing is missing. */
	private static final long MAX_CHECK_INTERVAL_MILLIS = 1_000;

	private static final long FAILURE_DELAY_MILLIS = 200;

	private final ServiceState serviceState;

	private final EngineControl engine;

	private final EngineMonitor monitor;

	private final Rollout rollout;

	private final ChunkDownloader downloader;

	private final EventLog log;

	private final Map<ModelVersion, WeightsDownload> downloads = new ConcurrentHashMap<>();

	/** Raised when a copy is begun. */
	private final ChangeSignal downloadStarts = new ChangeSignal();

	private volatile boolean closed;

	DownloadManager(ServiceState fleet, EngineControl engine, EngineMonitor monitor, Rollout rollout,
			ChunkDownloader fetcher, EventLog log) {
		this.serviceState = fleet;
		this.engine = engine;
		this.monitor = monitor;
		this.rollout = rollout;
		this.downloader = fetcher;
		this.log = log;
	}

	DownloadManager start() {
		DaemonThreads.start("keep-copies", this::run);
		return this;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * The copy of a version, or null if this agent has not begun to fetch it.
	 */
	@Nullable WeightsDownload download(ModelVersion weights) {
		return this.downloads.get(weights);
	}

	/**
	 * Waits until this agent has begun to fetch a version.
	 * @return the copy, or null if it does not begin in time
	 */
	@Nullable WeightsDownload awaitDownload(ModelVersion weights, long waitMillis) throws InterruptedException {
		long untilMillis = BootClock.nowMillis() + waitMillis;
		long seen = this.downloadStarts.changeCount();
		WeightsDownload copy = download(weights);
		while (copy == null && BootClock.nowMillis() < untilMillis) {
			this.downloadStarts.await(seen, untilMillis - BootClock.nowMillis());
			seen = this.downloadStarts.changeCount();
			copy = download(weights);
		}
		return copy;
	}

	private void run() {
		while (!this.closed) {
			try {
				long seen = this.serviceState.changes().changeCount();
				boolean settled = downloadFirstMissing();
				this.serviceState.changes().await(seen, settled ? MAX_CHECK_INTERVAL_MILLIS : PENDING_CHECK_MILLIS);
			}
			catch (EngineUnavailableException | RuntimeException ex) {
				this.log.log(Event.TASK_FAILED, "task", "keep-copies", "error", ex);
				this.closed = this.closed || interruptedWhilePausing();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	/**
	 * Fetches the first version that is missing. An engine that leaves gets no more
	 * calls, so what it lacks is left to the links of the others.
	 * @return whether none is
	 */
	private boolean downloadFirstMissing() throws EngineUnavailableException, InterruptedException {
		Optional<Upstream> own = this.serviceState.ownEngine();
		Optional<ServiceProfile.Engines> profile = this.serviceState.profile();
		EngineReport report = this.monitor.latest();
		if (own.isEmpty() || profile.isEmpty() || report == null) {
			return false;
		}
		if (own.get().leaving()) {
			return true;
		}
		this.serviceState.target().ifPresent((named) -> this.rollout.onTargetVersion(named, BootClock.nowMillis()));
		Optional<ModelVersion> missing = this.rollout.versionsToDownload()
			.stream()
			.filter((version) -> !report.serves(version, profile.get().layers()) && !isComplete(version))
			.findFirst();
		if (missing.isPresent()) {
			downloadVersion(missing.get(), own.get());
		}
		return missing.isEmpty();
	}

	private boolean isComplete(ModelVersion version) {
		WeightsDownload copy = this.downloads.get(version);
		return copy != null && copy.complete();
	}

	private boolean isNeeded(ModelVersion version) {
		this.serviceState.target().ifPresent((named) -> this.rollout.onTargetVersion(named, BootClock.nowMillis()));
		boolean leaves = this.serviceState.ownEngine().filter(Upstream::leaving).isPresent();
		return !this.closed && !leaves && this.rollout.versionsToDownload().contains(version);
	}

	private void downloadVersion(ModelVersion version, Upstream own)
			throws EngineUnavailableException, InterruptedException {
		WeightsDownload copy = this.downloads.get(version);
		if (copy == null) {
			ChunkManifest list = this.downloader.loadManifest(version, own);
			if (list == null) {
				return;
			}
			copy = new WeightsDownload(list);
			addStagedChunks(copy);
			this.downloads.keySet().removeIf((other) -> other.version() < version.version() - 1);
			this.downloads.put(version, copy);
			this.downloadStarts.raise();
		}
		long sinceMillis = BootClock.nowMillis();
		this.downloader.fetch(copy, own, () -> isNeeded(version));
		if (copy.complete()) {
			this.serviceState.changes().raise();
			this.log.log(Event.WEIGHTS_VERIFIED, "manifest", version.model() + "/" + version.version(), "chunks",
					copy.chunkManifest().size(), "seconds", (BootClock.nowMillis() - sinceMillis) / 1000.0);
		}
	}

	/**
	 * Takes over pieces that lie beside the engine since before a restart.
	 */
	private void addStagedChunks(WeightsDownload copy) throws EngineUnavailableException {
		for (int index = 0; index < copy.chunkManifest().size(); index++) {
			byte[] piece = this.engine.staged(copy.chunkManifest().model(), index);
			if (piece == null || !copy.addIfValid(index, piece)) {
				// Pieces of another version lie there, or none at all.
				return;
			}
		}
	}

	private static boolean interruptedWhilePausing() {
		try {
			Thread.sleep(FAILURE_DELAY_MILLIS);
			return false;
		}
		catch (InterruptedException ex) {
			return true;
		}
	}

}
