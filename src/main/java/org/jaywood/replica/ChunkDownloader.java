package org.jaywood.replica;

import java.io.IOException;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionException;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;
import org.jaywood.wire.DaemonThreads;

/**
 * Downloads all chunks of a version: from the peers of the fan-out plan, and from the
 * origin where the plan or failures of the peers require it.
 */
final class ChunkDownloader {

	/** Wait at a peer for a manifest. */
	private static final long MANIFEST_WAIT_MILLIS = 700;

	/**
	 * Time after which the next peer is asked for a manifest as well. After a start of
	 * all agents a parent may get it later than those above it.
	 */
	private static final long MANIFEST_HEDGE_DELAY_MILLIS = 150;

	/** Name of the origin in the log. */
	private static final String ORIGIN = "origin";

	/** Time for which a peer that could not be reached is not asked again. */
	private static final long UNREACHABLE_RETRY_MILLIS = 2_000;

	/** Interval at which a download checks whether its version is still needed. */
	private static final long CANCEL_CHECK_MILLIS = 50;

	private static final long ORIGIN_RETRY_DELAY_MILLIS = 150;

	/** Minimum time between two plans of a download. */
	private static final long MIN_REPLAN_INTERVAL_MILLIS = 1_000;

	/** Interval of the progress log lines of a download. */
	private static final long PROGRESS_INTERVAL_MILLIS = 1_000;

	private final ServiceState serviceState;

	private final PeerClient peerClient;

	private final WeightOrigin origin;

	private final int agentPort;

	private final EventLog log;

	private final Map<String, Long> unreachableSinceMillis = new ConcurrentHashMap<>();

	private final HedgedRequests manifestRequests = new HedgedRequests(DaemonThreads.requestPool(),
			MANIFEST_HEDGE_DELAY_MILLIS);

	ChunkDownloader(ServiceState serviceState, PeerClient peerClient, WeightOrigin origin, int agentPort,
			EventLog log) {
		this.serviceState = serviceState;
		this.peerClient = peerClient;
		this.origin = origin;
		this.agentPort = agentPort;
		this.log = log;
	}

	/**
	 * Fetches the manifest, from a peer that has it or from the origin.
	 * @return the manifest, or null if no source delivered it
	 * @throws VersionGoneException if the origin has dropped the version for good
	 */
	@Nullable ChunkManifest loadManifest(ModelVersion target, Upstream ownEngine)
			throws InterruptedException, VersionGoneException {
		List<Callable<ChunkManifest>> peers = planFor(target, ownEngine).manifestSources()
			.stream()
			.map((peer) -> (Callable<ChunkManifest>) () -> fetchManifest(target, peer))
			.toList();
		Optional<ChunkManifest> manifest = this.manifestRequests.firstResponse(peers);
		return manifest.isPresent() ? manifest.get() : fetchManifestFromOrigin(target);
	}

	private ChunkManifest fetchManifest(ModelVersion target, Upstream peer) throws IOException {
		try {
			return this.peerClient.fetchManifest(agentAddress(peer), target, MANIFEST_WAIT_MILLIS);
		}
		catch (IOException | RuntimeException ex) {
			logFailure("list", peer.id(), ex);
			throw ex;
		}
	}

	private @Nullable ChunkManifest fetchManifestFromOrigin(ModelVersion target) throws VersionGoneException {
		try {
			return this.origin.fetchManifest(originAddress(), target.model(), target.version());
		}
		catch (VersionGoneException ex) {
			throw ex;
		}
		catch (IOException | RuntimeException ex) {
			logFailure("list", ORIGIN, ex);
			return null;
		}
	}

	/**
	 * Fetches the missing chunks of a download. Returns early when the version is no
	 * longer needed, since the next one needs the link.
	 * @param isNeeded whether the version is still needed
	 * @throws VersionGoneException if the origin has dropped the version for good
	 */
	void fetch(WeightsDownload download, Upstream ownEngine, BooleanSupplier isNeeded)
			throws InterruptedException, VersionGoneException {
		new DownloadTask(download, ownEngine, isNeeded).run();
	}

	private FanOutPlan planFor(ModelVersion target, Upstream ownEngine) {
		return new FanOutPlan(ownEngine, this.serviceState.engines(), target, originRegion());
	}

	private boolean isReachable(Upstream peer, long nowMillis) {
		Long failedMillis = this.unreachableSinceMillis.get(peer.id());
		return failedMillis == null || nowMillis - failedMillis >= UNREACHABLE_RETRY_MILLIS;
	}

	private boolean isInOtherRegion(Upstream source) {
		return this.serviceState.ownEngine()
			.filter((ownEngine) -> !ownEngine.region().equals(source.region()))
			.isPresent();
	}

	private Address agentAddress(Upstream engine) {
		return new Address(engine.address().host(), this.agentPort);
	}

	private Address originAddress() throws IOException {
		return this.serviceState.origin()
			.map(ServiceProfile.Origin::address)
			.orElseThrow(() -> new IOException("no origin is configured"));
	}

	private String originRegion() {
		return this.serviceState.origin().map(ServiceProfile.Origin::region).orElse("");
	}

	private void logFailure(String chunk, String source, Exception failure) {
		this.log.log(Event.CHUNK_FETCH_FAILED, "chunk", chunk, "source", source, "error", failure.getMessage(), "boot",
				BootClock.nowMillis());
	}

	/**
	 * Fetches the missing chunks of one download: runs each request of the scheduler as a
	 * task of its own and asks for further requests when one ends. A chunk that arrives
	 * late is still accepted.
	 */
	private final class DownloadTask {

		private final WeightsDownload download;

		private final ModelVersion target;

		private final Upstream ownEngine;

		private final BooleanSupplier isNeeded;

		private final DownloadScheduler scheduler;

		private final ChangeSignal requestEnds = new ChangeSignal();

		private final AtomicInteger receivedFromPeers = new AtomicInteger();

		private final AtomicInteger receivedFromOrigin = new AtomicInteger();

		private final AtomicLong maxOriginFetchMillis = new AtomicLong();

		/** Response of the origin that ends this download. */
		private volatile @Nullable VersionGoneException gone;

		private long plannedChangeCount;

		private long lastPlanMillis;

		DownloadTask(WeightsDownload download, Upstream ownEngine, BooleanSupplier isNeeded) {
			this.download = download;
			this.target = new ModelVersion(download.chunkManifest().model(), download.chunkManifest().version());
			this.ownEngine = ownEngine;
			this.isNeeded = isNeeded;
			this.plannedChangeCount = ChunkDownloader.this.serviceState.changes().changeCount();
			this.lastPlanMillis = BootClock.nowMillis();
			this.scheduler = new DownloadScheduler(planFor(this.target, ownEngine));
		}

		void run() throws InterruptedException, VersionGoneException {
			long seenEndCount = -1;
			long startMillis = BootClock.nowMillis();
			long lastReportMillis = startMillis;
			while (this.gone == null && !this.download.isComplete() && this.isNeeded.getAsBoolean()) {
				long nowMillis = BootClock.nowMillis();
				replanIfChanged(nowMillis);
				if (this.requestEnds.changeCount() != seenEndCount) {
					seenEndCount = this.requestEnds.changeCount();
					startRequests(nowMillis);
				}
				if (nowMillis - lastReportMillis >= PROGRESS_INTERVAL_MILLIS) {
					lastReportMillis = nowMillis;
					logProgress(nowMillis - startMillis);
				}
				this.requestEnds.await(seenEndCount, CANCEL_CHECK_MILLIS);
			}
			releaseOrigin();
			VersionGoneException failure = this.gone;
			if (failure != null && !this.download.isComplete()) {
				throw failure;
			}
		}

		private synchronized void logProgress(long millis) {
			BitSet missing = this.download.missing();
			ChunkDownloader.this.log.log(Event.TRANSFER_PROGRESS, "manifest",
					this.target.model() + "/" + this.target.version(), "engine", this.ownEngine.id(), "millis", millis,
					"missing", missing.cardinality(), "fromPeers", this.receivedFromPeers.get(), "fromOrigin",
					this.receivedFromOrigin.get(), "originMillis", this.maxOriginFetchMillis.getAndSet(0), "pieces",
					ChunkFrames.encodeIndexes(missing), "askedOfOrigin",
					ChunkFrames.encodeIndexes(this.scheduler.requestedFromOrigin()), "askedOfPeers",
					this.scheduler.requestedPeers());
		}

		/**
		 * Updates the plan when the list of engines has changed: agents whose plans come
		 * from different lists may wait for each other.
		 */
		private synchronized void replanIfChanged(long nowMillis) {
			long changeCount = ChunkDownloader.this.serviceState.changes().changeCount();
			if (changeCount != this.plannedChangeCount
					&& nowMillis - this.lastPlanMillis >= MIN_REPLAN_INTERVAL_MILLIS) {
				this.plannedChangeCount = changeCount;
				this.lastPlanMillis = nowMillis;
				ChunkDownloader.this.serviceState.ownEngine()
					.ifPresent((ownEngine) -> this.scheduler.updatePlan(planFor(this.target, ownEngine)));
			}
		}

		private synchronized void startRequests(long nowMillis) {
			this.scheduler.nextRequests(this.download.missing(), (peer) -> isReachable(peer, nowMillis), nowMillis)
				.forEach((request) -> DaemonThreads.requestPool().execute(() -> runRequest(request)));
			if (this.scheduler.requestedFromOrigin().isEmpty()) {
				releaseOrigin();
			}
		}

		private void releaseOrigin() {
			ChunkDownloader.this.serviceState.origin()
				.map(ServiceProfile.Origin::address)
				.ifPresent(ChunkDownloader.this.origin::closeIdleConnections);
		}

		private void runRequest(ChunkRequest request) {
			boolean reached = false;
			try {
				reached = switch (request) {
					case ChunkRequest.FromPeer fromPeer -> fetchFromPeer(fromPeer);
					case ChunkRequest.FromOrigin fromOrigin -> fetchFromOrigin(fromOrigin);
				};
			}
			finally {
				onRequestEnd(request, reached);
			}
		}

		private synchronized void onRequestEnd(ChunkRequest request, boolean reached) {
			this.scheduler.onRequestEnd(request, reached, this.download.missing(), BootClock.nowMillis());
			this.requestEnds.raise();
		}

		private boolean fetchFromPeer(ChunkRequest.FromPeer request) {
			Upstream peer = request.peer();
			try {
				ChunkDownloader.this.peerClient.streamChunks(agentAddress(peer), this.download.chunkManifest(),
						request.chunkIndexes(), isInOtherRegion(peer), request.waitMillis(),
						(chunk) -> addChunk(chunk, peer.id(), this.receivedFromPeers));
				return true;
			}
			catch (ConnectionException ex) {
				ChunkDownloader.this.unreachableSinceMillis.put(peer.id(), BootClock.nowMillis());
				logFailure(request.chunkIndexes().toString(), peer.id(), ex);
				return false;
			}
			catch (IOException | RuntimeException ex) {
				logFailure(request.chunkIndexes().toString(), peer.id(), ex);
				return true;
			}
		}

		private boolean fetchFromOrigin(ChunkRequest.FromOrigin request) {
			long startMillis = BootClock.nowMillis();
			try {
				byte[] bytes = ChunkDownloader.this.origin.fetchChunk(originAddress(), this.download.chunkManifest(),
						request.index());
				this.maxOriginFetchMillis.accumulateAndGet(BootClock.nowMillis() - startMillis, Math::max);
				addChunk(new LocalChunks.Chunk(request.index(), bytes), ORIGIN, this.receivedFromOrigin);
			}
			catch (VersionGoneException ex) {
				this.gone = ex;
			}
			catch (IOException | RuntimeException ex) {
				logFailure(Integer.toString(request.index()), ORIGIN, ex);
				delayOriginRetry();
			}
			return true;
		}

		/**
		 * Adds a chunk to the download if its digest matches.
		 * @param received number of chunks received from sources of this kind
		 * @return whether the version is still needed
		 */
		private boolean addChunk(LocalChunks.Chunk chunk, String source, AtomicInteger received) {
			received.incrementAndGet();
			if (!this.download.addIfValid(chunk.index(), chunk.bytes())) {
				ChunkDownloader.this.log.log(Event.CHUNK_CORRUPT, "chunk", chunk.index(), "source", source);
			}
			return this.isNeeded.getAsBoolean();
		}

		private static void delayOriginRetry() {
			try {
				Thread.sleep(ORIGIN_RETRY_DELAY_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
