package org.jaywood.replica;

import java.io.IOException;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
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
 * Brings all pieces of a version to this agent: from the peers of the plan, and from the
 * origin where the plan or a failure of the peers says so.
 */
final class ChunkDownloader {

	/** Wait at a peer for a list of digests. */
	private static final long MANIFEST_WAIT_MILLIS = 700;

	/** Name of the origin in the log. */
	private static final String ORIGIN = "origin";

	/** A peer that cannot be reached is not asked again for this long. */
	private static final long UNREACHABLE_RETRY_MILLIS = 2_000;

	/** Interval at which a transfer looks whether its version is still wanted. */
	private static final long CANCEL_CHECK_MILLIS = 50;

	private static final long ORIGIN_RETRY_DELAY_MILLIS = 150;

	/** Shortest time between two plans of a transfer. */
	private static final long MIN_REPLAN_INTERVAL_MILLIS = 1_000;

	/** Interval of the log lines of a transfer. */
	private static final long PROGRESS_INTERVAL_MILLIS = 1_000;

	private final ServiceState serviceState;

	private final PeerClient peerClient;

	private final WeightOrigin origin;

	private final int agentPort;

	private final EventLog log;

	private final Map<String, Long> unreachableSinceMillis = new ConcurrentHashMap<>();

	ChunkDownloader(ServiceState fleet, PeerClient peers, WeightOrigin origin, int agentPort, EventLog log) {
		this.serviceState = fleet;
		this.peerClient = peers;
		this.origin = origin;
		this.agentPort = agentPort;
		this.log = log;
	}

	/**
	 * Fetches the list of digests, from a peer that has it or from the origin.
	 * @return the list, or null if nobody has it now
	 */
	@Nullable ChunkManifest loadManifest(ModelVersion target, Upstream own) {
		List<Upstream> holders = planFor(target, own).manifestSources();
		for (Upstream holder : holders) {
			try {
				return this.peerClient.fetchManifest(agentAddress(holder), target, MANIFEST_WAIT_MILLIS);
			}
			catch (IOException | RuntimeException ex) {
				logFailure("list", holder.id(), ex);
			}
		}
		try {
			return this.origin.fetchManifest(originAddress(), target.model(), target.version());
		}
		catch (IOException | RuntimeException ex) {
			logFailure("list", ORIGIN, ex);
			return null;
		}
	}

	/**
	 * Fetches all pieces that a copy lacks. Returns early when the version is not wanted
	 * any more, since the next one needs the link.
	 * @param wanted whether the copy is still wanted
	 */
	void fetch(WeightsDownload copy, Upstream own, BooleanSupplier wanted) throws InterruptedException {
		new DownloadTask(copy, own, wanted).run();
	}

	private FanOutPlan planFor(ModelVersion target, Upstream own) {
		return new FanOutPlan(own, this.serviceState.engines(), target, originRegion());
	}

	private boolean isReachable(Upstream peer, long nowMillis) {
		Long failedMillis = this.unreachableSinceMillis.get(peer.id());
		return failedMillis == null || nowMillis - failedMillis >= UNREACHABLE_RETRY_MILLIS;
	}

	private boolean isInOtherRegion(Upstream source) {
		return this.serviceState.ownEngine().filter((own) -> !own.region().equals(source.region())).isPresent();
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
	 * The transfer of what one copy lacks: begins the requests of the schedule, each as a
	 * task of its own, and goes on at the end of each. A piece that comes late is taken
	 * all the same.
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

		private long plannedChangeCount;

		private long lastPlanMillis;

		DownloadTask(WeightsDownload copy, Upstream own, BooleanSupplier wanted) {
			this.download = copy;
			this.target = new ModelVersion(copy.chunkManifest().model(), copy.chunkManifest().version());
			this.ownEngine = own;
			this.isNeeded = wanted;
			this.plannedChangeCount = ChunkDownloader.this.serviceState.changes().changeCount();
			this.lastPlanMillis = BootClock.nowMillis();
			this.scheduler = new DownloadScheduler(planFor(this.target, own));
		}

		void run() throws InterruptedException {
			long seen = -1;
			long sinceMillis = BootClock.nowMillis();
			long reportedMillis = sinceMillis;
			while (!this.download.complete() && this.isNeeded.getAsBoolean()) {
				long nowMillis = BootClock.nowMillis();
				replanIfChanged(nowMillis);
				if (this.requestEnds.changeCount() != seen) {
					seen = this.requestEnds.changeCount();
					startRequests(nowMillis);
				}
				if (nowMillis - reportedMillis >= PROGRESS_INTERVAL_MILLIS) {
					reportedMillis = nowMillis;
					logProgress(nowMillis - sinceMillis);
				}
				this.requestEnds.await(seen, CANCEL_CHECK_MILLIS);
			}
			releaseOrigin();
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
		 * Follows the list of engines while it changes: agents that plan by different
		 * lists may wait for each other.
		 */
		private synchronized void replanIfChanged(long nowMillis) {
			long changes = ChunkDownloader.this.serviceState.changes().changeCount();
			if (changes != this.plannedChangeCount && nowMillis - this.lastPlanMillis >= MIN_REPLAN_INTERVAL_MILLIS) {
				this.plannedChangeCount = changes;
				this.lastPlanMillis = nowMillis;
				ChunkDownloader.this.serviceState.ownEngine()
					.ifPresent((own) -> this.scheduler.updatePlan(planFor(this.target, own)));
			}
		}

		private synchronized void startRequests(long nowMillis) {
			this.scheduler.nextRequests(this.download.missing(), (peer) -> isReachable(peer, nowMillis), nowMillis)
				.forEach((request) -> DaemonThreads.requestPool().execute(() -> execute(request)));
			if (this.scheduler.requestedFromOrigin().isEmpty()) {
				releaseOrigin();
			}
		}

		private void releaseOrigin() {
			ChunkDownloader.this.serviceState.origin()
				.map(ServiceProfile.Origin::address)
				.ifPresent(ChunkDownloader.this.origin::release);
		}

		private void execute(ChunkRequest request) {
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
				ChunkDownloader.this.peerClient.streamChunks(agentAddress(peer), this.target, request.chunkIndexes(),
						isInOtherRegion(peer), request.waitMillis(),
						(piece) -> addChunk(piece, peer.id(), this.receivedFromPeers));
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
			long sinceMillis = BootClock.nowMillis();
			try {
				byte[] bytes = ChunkDownloader.this.origin.fetchChunk(originAddress(), this.target.model(),
						this.target.version(), request.index());
				this.maxOriginFetchMillis.accumulateAndGet(BootClock.nowMillis() - sinceMillis, Math::max);
				addChunk(new LocalChunks.Chunk(request.index(), bytes), ORIGIN, this.receivedFromOrigin);
			}
			catch (IOException | RuntimeException ex) {
				logFailure(Integer.toString(request.index()), ORIGIN, ex);
				delayOriginRetry();
			}
			return true;
		}

		/**
		 * Takes a piece if it is the right one.
		 * @param received count of the pieces that came from such sources
		 * @return whether the copy is still wanted
		 */
		private boolean addChunk(LocalChunks.Chunk piece, String source, AtomicInteger received) {
			received.incrementAndGet();
			if (!this.download.addIfValid(piece.index(), piece.bytes())) {
				ChunkDownloader.this.log.log(Event.CHUNK_CORRUPT, "chunk", piece.index(), "source", source);
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
