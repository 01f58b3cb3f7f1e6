package org.jaywood.replica;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionException;
import org.jaywood.routing.NamedWeights;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;
import org.jaywood.wire.Tasks;

/**
 * Brings all pieces of a version to this agent: from the peers of the plan, and from the
 * origin where the plan or a failure of the peers says so.
 */
final class PieceFetcher {

	/** Pieces asked of peers at once; most of these requests wait at the peer. */
	private static final int PEER_WORKERS = 8;

	/** Pieces asked of the origin at once, which fill its link. */
	private static final int ORIGIN_WORKERS = 2;

	/** Wait at a peer for a piece that it does not have yet. */
	private static final long PEER_WAIT_MILLIS = 1_500;

	/** Wait at a peer for a list of digests. */
	private static final long LIST_WAIT_MILLIS = 700;

	/** A peer that cannot be reached is not asked again for this long. */
	private static final long UNREACHABLE_MILLIS = 2_000;

	private static final Duration WANTED_CHECK = Duration.ofMillis(50);

	private static final long RETRY_PAUSE_MILLIS = 150;

	private final FleetKnowledge fleet;

	private final PeerPieces peers;

	private final WeightOrigin origin;

	private final int agentPort;

	private final EventLog log;

	private final Semaphore originTurns = new Semaphore(ORIGIN_WORKERS);

	private final Map<String, Long> unreachableSinceMillis = new ConcurrentHashMap<>();

	PieceFetcher(FleetKnowledge fleet, PeerPieces peers, WeightOrigin origin, int agentPort, EventLog log) {
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
	@Nullable PieceList list(NamedWeights target, Upstream own) {
		List<Upstream> holders = plan(target, own).listSources();
		for (Upstream holder : holders) {
			try {
				return this.peers.list(agent(holder), target, LIST_WAIT_MILLIS);
			}
			catch (IOException | RuntimeException ex) {
				logFailure("list", holder.id(), ex);
			}
		}
		try {
			return this.origin.pieces(originAddress(), target.model(), target.version());
		}
		catch (IOException | RuntimeException ex) {
			logFailure("list", "origin", ex);
			return null;
		}
	}

	/**
	 * Fetches all pieces that a copy lacks.
	 * @param wanted whether the copy is still wanted
	 */
	void fetch(WeightCopy copy, Upstream own, BooleanSupplier wanted) throws InterruptedException {
		NamedWeights target = new NamedWeights(copy.list().model(), copy.list().version());
		SourcePlan plan = plan(target, own);
		List<Integer> missing = IntStream.range(0, copy.list().size())
			.filter((index) -> !copy.has(index))
			.boxed()
			.toList();
		Queue<Integer> fromOrigin = new ConcurrentLinkedQueue<>(missing.stream().filter(plan::fromOrigin).toList());
		Queue<Integer> fromPeers = new ConcurrentLinkedQueue<>(
				missing.stream().filter((index) -> !plan.fromOrigin(index)).toList());
		List<Thread> workers = new ArrayList<>();
		IntStream.range(0, ORIGIN_WORKERS)
			.forEach((worker) -> workers.add(start(() -> drainOrigin(fromOrigin, copy, target, wanted))));
		IntStream.range(0, PEER_WORKERS)
			.forEach((worker) -> workers.add(start(() -> drainPeers(fromPeers, copy, plan, target, wanted))));
		awaitAll(workers, wanted);
	}

	/**
	 * Waits for all workers, and ends them early when the version is not wanted any more:
	 * the next one needs the link.
	 */
	private static void awaitAll(List<Thread> workers, BooleanSupplier wanted) throws InterruptedException {
		for (Thread worker : workers) {
			while (!worker.join(WANTED_CHECK)) {
				if (!wanted.getAsBoolean()) {
					workers.forEach(Thread::interrupt);
				}
			}
		}
	}

	private static Thread start(Runnable work) {
		return Tasks.start("fetch-pieces", work);
	}

	private void drainOrigin(Queue<Integer> indexes, WeightCopy copy, NamedWeights target, BooleanSupplier wanted) {
		for (Integer index = indexes.poll(); index != null && wanted.getAsBoolean(); index = indexes.poll()) {
			while (!copy.has(index) && wanted.getAsBoolean() && !askOrigin(index, copy, target)) {
				pause();
			}
		}
	}

	private void drainPeers(Queue<Integer> indexes, WeightCopy copy, SourcePlan plan, NamedWeights target,
			BooleanSupplier wanted) {
		for (Integer index = indexes.poll(); index != null && wanted.getAsBoolean(); index = indexes.poll()) {
			fromPeers(index, copy, plan, target, wanted);
		}
	}

	private void fromPeers(int index, WeightCopy copy, SourcePlan first, NamedWeights target, BooleanSupplier wanted) {
		SourcePlan plan = first;
		for (int round = 0; !copy.has(index) && wanted.getAsBoolean(); round++) {
			long waitMillis = (round == 0) ? PEER_WAIT_MILLIS : 0;
			boolean found = plan.sources(index)
				.stream()
				.anyMatch((source) -> wanted.getAsBoolean() && askPeer(source, index, copy, target, waitMillis));
			if (!found && wanted.getAsBoolean()) {
				found = askAnyone(index, copy, target) || askOrigin(index, copy, target);
			}
			if (!found) {
				pause();
				plan = this.fleet.own().map((own) -> plan(target, own)).orElse(first);
			}
		}
	}

	private SourcePlan plan(NamedWeights target, Upstream own) {
		return new SourcePlan(own, this.fleet.engines(), target, originRegion());
	}

	/**
	 * Asks all peers, whatever the plan says: the plans of agents that know different
	 * lists may wait for each other.
	 */
	private boolean askAnyone(int index, WeightCopy copy, NamedWeights target) {
		String self = this.fleet.own().map(Upstream::id).orElse("");
		return this.fleet.engines()
			.stream()
			.filter((engine) -> !engine.id().equals(self))
			.sorted(Comparator.comparing(this::isFar))
			.anyMatch((engine) -> askPeer(engine, index, copy, target, 0));
	}

	private boolean askPeer(Upstream source, int index, WeightCopy copy, NamedWeights target, long waitMillis) {
		Long failedMillis = this.unreachableSinceMillis.get(source.id());
		if (failedMillis != null && BootClock.nowMillis() - failedMillis < UNREACHABLE_MILLIS) {
			return false;
		}
		try {
			byte[] piece = this.peers.piece(agent(source), target, index, isFar(source), waitMillis);
			return accept(copy, index, piece, source.id());
		}
		catch (ConnectionException ex) {
			this.unreachableSinceMillis.put(source.id(), BootClock.nowMillis());
			logFailure(Integer.toString(index), source.id(), ex);
			return false;
		}
		catch (IOException | RuntimeException ex) {
			logFailure(Integer.toString(index), source.id(), ex);
			return false;
		}
	}

	private boolean isFar(Upstream source) {
		return this.fleet.own().filter((own) -> !own.region().equals(source.region())).isPresent();
	}

	private boolean askOrigin(int index, WeightCopy copy, NamedWeights target) {
		this.originTurns.acquireUninterruptibly();
		try {
			if (copy.has(index)) {
				return true;
			}
			return accept(copy, index, this.origin.piece(originAddress(), target.model(), target.version(), index),
					"origin");
		}
		catch (IOException | RuntimeException ex) {
			logFailure(Integer.toString(index), "origin", ex);
			return false;
		}
		finally {
			this.originTurns.release();
		}
	}

	private boolean accept(WeightCopy copy, int index, byte[] piece, String source) {
		boolean right = copy.offer(index, piece);
		if (!right) {
			this.log.log(Event.CHUNK_CORRUPT, "chunk", index, "source", source);
		}
		return right;
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

	private static void pause() {
		try {
			Thread.sleep(RETRY_PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
