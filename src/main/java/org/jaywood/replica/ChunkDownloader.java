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
	private static final long LIST_WAIT_MILLIS = 700;

	/** Name of the origin in the log. */
	private static final String ORIGIN = "origin";

	/** A peer that cannot be reached is not asked again for this long. */
	private static final long UNREACHABLE_MILLIS = 2_000;

	/** Interval at which a transfer looks whether its version is still wanted. */
	private static final long WANTED_CHECK_MILLIS = 50;

	private static final long ORIGIN_PAUSE_MILLIS = 150;

	/** Shortest time between two plans of a transfer. */
	private static final long REPLAN_MILLIS = 1_000;

	/** Interval of the log lines of a transfer. */
	private static final long PROGRESS_MILLIS = 1_000;

	private final ServiceState fleet;

	private final PeerClient peers;

	private final WeightOrigin origin;

	private final int agentPort;

	private final EventLog log;

	private final Map<String, Long> unreachableSinceMillis = new ConcurrentHashMap<>();

	ChunkDownloader(ServiceState fleet, PeerClient peers, WeightOrigin origin, int agentPort, EventLog log) {
		this.fleet = fleet;
		this.peers = peers;
		this.origin = origin;
		this.agentPort = agentPort;
		this.log = log;
	}

	/**
	 * Fetches the list of digests, from a peer that has it or from the origin.
	 * @return the list, or null if nobody has it now
	 */
	@Nullable ChunkManifest loadManifest(ModelVersion target, Upstream own) {
		List<Upstream> holders = plan(target, own).manifestSources();
		for (Upstream holder : holders) {
			try {
				return this.peers.fetchManifest(agent(holder), target, LIST_WAIT_MILLIS);
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
		new Transfer(copy, own, wanted).run();
	}

	private FanOutPlan plan(ModelVersion target, Upstream own) {
		return new FanOutPlan(own, this.fleet.engines(), target, originRegion());
	}

	private boolean reachable(Upstream peer, long nowMillis) {
		Long failedMillis = this.unreachableSinceMillis.get(peer.id());
		return failedMillis == null || nowMillis - failedMillis >= UNREACHABLE_MILLIS;
	}

	private boolean isFar(Upstream source) {
		return this.fleet.own().filter((own) -> !own.region().equals(source.region())).isPresent();
	}

	private Address agent(Upstream engine) {
		return new Address(engine.address().host(), this.agentPort);
	}

	private Address originAddress() throws IOException {
		return this.fleet.origin()
			.map(ServiceProfile.Origin::address)
			.orElseThrow(() -> new IOException("no origin is configured"));
	}

	private String originRegion() {
		return this.fleet.origin().map(ServiceProfile.Origin::region).orElse("");
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
	private final class Transfer {

		private final WeightsDownload copy;

		private final ModelVersion target;

		private final Upstream own;

		private final BooleanSupplier wanted;

		private final DownloadScheduler schedule;

		private final ChangeSignal ends = new ChangeSignal();

		private final AtomicInteger receivedOfPeers = new AtomicInteger();

		private final AtomicInteger receivedOfOrigin = new AtomicInteger();

		private final AtomicLong originMillis = new AtomicLong();

		private long plannedChanges;

		private long plannedMillis;

		Transfer(WeightsDownload copy, Upstream own, BooleanSupplier wanted) {
			this.copy = copy;
			this.target = new ModelVersion(copy.chunkManifest().model(), copy.chunkManifest().version());
			this.own = own;
			this.wanted = wanted;
			this.plannedChanges = ChunkDownloader.this.fleet.changes().changeCount();
			this.plannedMillis = BootClock.nowMillis();
			this.schedule = new DownloadScheduler(plan(this.target, own));
		}

		void run() throws InterruptedException {
			long seen = -1;
			long sinceMillis = BootClock.nowMillis();
			long reportedMillis = sinceMillis;
			while (!this.copy.complete() && this.wanted.getAsBoolean()) {
				long nowMillis = BootClock.nowMillis();
				replan(nowMillis);
				if (this.ends.changeCount() != seen) {
					seen = this.ends.changeCount();
					begin(nowMillis);
				}
				if (nowMillis - reportedMillis >= PROGRESS_MILLIS) {
					reportedMillis = nowMillis;
					report(nowMillis - sinceMillis);
				}
				this.ends.await(seen, WANTED_CHECK_MILLIS);
			}
			releaseOrigin();
		}

		private synchronized void report(long millis) {
			BitSet missing = this.copy.missing();
			ChunkDownloader.this.log.log(Event.TRANSFER_PROGRESS, "manifest",
					this.target.model() + "/" + this.target.version(), "engine", this.own.id(), "millis", millis,
					"missing", missing.cardinality(), "fromPeers", this.receivedOfPeers.get(), "fromOrigin",
					this.receivedOfOrigin.get(), "originMillis", this.originMillis.getAndSet(0), "pieces",
					ChunkFrames.encodeIndexes(missing), "askedOfOrigin",
					ChunkFrames.encodeIndexes(this.schedule.askedOfOrigin()), "askedOfPeers",
					this.schedule.askedOfPeers());
		}

		/**
		 * Follows the list of engines while it changes: agents that plan by different
		 * lists may wait for each other.
		 */
		private synchronized void replan(long nowMillis) {
			long changes = ChunkDownloader.this.fleet.changes().changeCount();
			if (changes != this.plannedChanges && nowMillis - this.plannedMillis >= REPLAN_MILLIS) {
				this.plannedChanges = changes;
				this.plannedMillis = nowMillis;
				ChunkDownloader.this.fleet.own().ifPresent((own) -> this.schedule.updatePlan(plan(this.target, own)));
			}
		}

		private synchronized void begin(long nowMillis) {
			this.schedule.next(this.copy.missing(), (peer) -> reachable(peer, nowMillis), nowMillis)
				.forEach((request) -> DaemonThreads.requestPool().execute(() -> ask(request)));
			if (this.schedule.askedOfOrigin().isEmpty()) {
				releaseOrigin();
			}
		}

		private void releaseOrigin() {
			ChunkDownloader.this.fleet.origin()
				.map(ServiceProfile.Origin::address)
				.ifPresent(ChunkDownloader.this.origin::release);
		}

		private void ask(ChunkRequest request) {
			boolean reached = false;
			try {
				reached = switch (request) {
					case ChunkRequest.FromPeer fromPeer -> askPeer(fromPeer);
					case ChunkRequest.FromOrigin fromOrigin -> askOrigin(fromOrigin);
				};
			}
			finally {
				end(request, reached);
			}
		}

		private synchronized void end(ChunkRequest request, boolean reached) {
			this.schedule.onEnd(request, reached, this.copy.missing(), BootClock.nowMillis());
			this.ends.raise();
		}

		private boolean askPeer(ChunkRequest.FromPeer request) {
			Upstream peer = request.peer();
			try {
				ChunkDownloader.this.peers.streamChunks(agent(peer), this.target, request.chunkIndexes(), isFar(peer),
						request.waitMillis(), (piece) -> accept(piece, peer.id(), this.receivedOfPeers));
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

		private boolean askOrigin(ChunkRequest.FromOrigin request) {
			long sinceMillis = BootClock.nowMillis();
			try {
				byte[] bytes = ChunkDownloader.this.origin.fetchChunk(originAddress(), this.target.model(),
						this.target.version(), request.index());
				this.originMillis.accumulateAndGet(BootClock.nowMillis() - sinceMillis, Math::max);
				accept(new LocalChunks.Chunk(request.index(), bytes), ORIGIN, this.receivedOfOrigin);
			}
			catch (IOException | RuntimeException ex) {
				logFailure(Integer.toString(request.index()), ORIGIN, ex);
				pause();
			}
			return true;
		}

		/**
		 * Takes a piece if it is the right one.
		 * @param received count of the pieces that came from such sources
		 * @return whether the copy is still wanted
		 */
		private boolean accept(LocalChunks.Chunk piece, String source, AtomicInteger received) {
			received.incrementAndGet();
			if (!this.copy.addIfValid(piece.index(), piece.bytes())) {
				ChunkDownloader.this.log.log(Event.CHUNK_CORRUPT, "chunk", piece.index(), "source", source);
			}
			return this.wanted.getAsBoolean();
		}

		private static void pause() {
			try {
				Thread.sleep(ORIGIN_PAUSE_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
