package org.jaywood.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.stream.Collectors;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.Upstream;

/**
 * Agents that bring a version to each other in simulated time, each by its own
 * {@link DownloadScheduler}. It stands for links of limited speed, for an origin with few
 * connections that goes away and returns, and for agents that stop and start again with
 * nothing. Processor time and losses are not played.
 */
final class TransferSimulation {

	static final int PIECES = 96;

	private static final int PIECE_BYTES = 24_576;

	private static final long STEP_MILLIS = 5;

	/** Speed of each link, that of the origin included. */
	private static final int LINK_BYTES_PER_MILLI = 912;

	/** Part of a link that pieces may take. */
	private static final double UPLOAD_SHARE = 0.82;

	/** Pieces that a link may be ahead. */
	private static final double MAX_CREDIT_BYTES = 2.0 * PIECE_BYTES;

	/** Connections that the origin bears. */
	private static final int ORIGIN_CONNECTIONS = 48;

	private static final long CONNECT_MILLIS = 400;

	private static final long FAILURE_PAUSE_MILLIS = 150;

	private static final long UNREACHABLE_MILLIS = 2_000;

	private final Map<String, Agent> agents;

	private final ModelVersion target;

	private final String originRegion;

	private final Queue<OriginRequest> atOrigin = new ArrayDeque<>();

	private final Set<Integer> sentByOrigin = new HashSet<>();

	private long originAwayMillis = Long.MAX_VALUE;

	private long originBackMillis = Long.MAX_VALUE;

	private int originPieces;

	private double originCredit;

	private long nowMillis;

	TransferSimulation(List<Upstream> engines, ModelVersion target, String originRegion) {
		this.target = target;
		this.originRegion = originRegion;
		this.agents = engines.stream().collect(Collectors.toMap(Upstream::id, (engine) -> new Agent(engine, engines)));
	}

	/**
	 * Lets the origin refuse connections for a while.
	 */
	void takeOriginAway(long awayMillis, long backMillis) {
		this.originAwayMillis = awayMillis;
		this.originBackMillis = backMillis;
	}

	/**
	 * Stops an agent, which starts again without any piece.
	 */
	void restart(Upstream engine, long stopMillis, long startMillis) {
		Agent agent = this.agents.get(engine.id());
		agent.stopMillis = stopMillis;
		agent.startMillis = startMillis;
	}

	/**
	 * Lets an agent plan by another list of engines than the others.
	 */
	void planBy(Upstream engine, List<Upstream> engines, long untilMillis) {
		Agent agent = this.agents.get(engine.id());
		agent.schedule = new DownloadScheduler(plan(engine, engines));
		agent.knowsAllMillis = untilMillis;
	}

	/**
	 * Runs until all agents have all pieces, at most up to a time.
	 */
	void run(long untilMillis) {
		while (this.nowMillis < untilMillis && !complete()) {
			step();
		}
	}

	boolean complete() {
		return this.agents.values().stream().allMatch((agent) -> agent.missing().isEmpty());
	}

	/**
	 * Pieces that the origin has sent, each as often as it was sent.
	 */
	int originPieces() {
		return this.originPieces;
	}

	String describe() {
		List<Integer> missing = this.agents.values()
			.stream()
			.map((agent) -> agent.missing().cardinality())
			.sorted()
			.toList();
		return "after " + this.nowMillis + " ms agents lack " + missing.getFirst() + " to " + missing.getLast()
				+ " pieces, half of them " + missing.get(missing.size() / 2) + "; the origin sent " + this.originPieces
				+ ", of which " + this.sentByOrigin.size() + " differ";
	}

	private FanOutPlan plan(Upstream engine, List<Upstream> engines) {
		return new FanOutPlan(engine, engines, this.target, this.originRegion);
	}

	private void step() {
		this.nowMillis += STEP_MILLIS;
		if (originAway()) {
			this.atOrigin.forEach((request) -> request.agent.endLater(request.request, true, FAILURE_PAUSE_MILLIS));
			this.atOrigin.clear();
		}
		sendFromOrigin();
		this.agents.values().forEach(Agent::stopOrStart);
		this.agents.values().forEach(Agent::send);
		this.agents.values().forEach(Agent::proceed);
	}

	private boolean originAway() {
		return this.nowMillis >= this.originAwayMillis && this.nowMillis < this.originBackMillis;
	}

	private void sendFromOrigin() {
		this.originCredit = Math.min(this.originCredit + LINK_BYTES_PER_MILLI * STEP_MILLIS, MAX_CREDIT_BYTES);
		while (this.originCredit >= PIECE_BYTES && !this.atOrigin.isEmpty()) {
			this.originCredit -= PIECE_BYTES;
			OriginRequest next = this.atOrigin.remove();
			this.originPieces++;
			this.sentByOrigin.add(next.request.index());
			next.agent.arrived.set(next.request.index());
			next.agent.endLater(next.request, true, 0);
		}
	}

	private void askOrigin(Agent agent, ChunkRequest.FromOrigin request) {
		if (originAway()) {
			agent.endLater(request, true, FAILURE_PAUSE_MILLIS);
		}
		else if (this.atOrigin.size() >= ORIGIN_CONNECTIONS) {
			agent.endLater(request, true, CONNECT_MILLIS + FAILURE_PAUSE_MILLIS);
		}
		else {
			this.atOrigin.add(new OriginRequest(agent, request));
		}
	}

	private record OriginRequest(Agent agent, ChunkRequest.FromOrigin request) {
	}

	private record End(ChunkRequest request, boolean reached, long atMillis) {
	}

	/**
	 * Pieces that one agent sends to another.
	 */
	private static final class Stream {

		private final Agent receiver;

		private final ChunkRequest.FromPeer request;

		private final BitSet left;

		private long sinceMillis;

		Stream(Agent receiver, ChunkRequest.FromPeer request, long nowMillis) {
			this.receiver = receiver;
			this.request = request;
			this.left = (BitSet) request.chunkIndexes().clone();
			this.sinceMillis = nowMillis;
		}

		/**
		 * Sends a piece that the sender has.
		 * @return whether there was one
		 */
		boolean send(BitSet held, long nowMillis) {
			BitSet ready = (BitSet) this.left.clone();
			ready.and(held);
			if (ready.isEmpty()) {
				return false;
			}
			this.left.clear(ready.nextSetBit(0));
			this.receiver.arrived.set(ready.nextSetBit(0));
			this.sinceMillis = nowMillis;
			return true;
		}

		boolean ended(long nowMillis) {
			return this.left.isEmpty() || nowMillis - this.sinceMillis >= this.request.waitMillis();
		}

	}

	private final class Agent {

		private final Upstream engine;

		private final List<Upstream> engines;

		private final BitSet arrived = new BitSet();

		private final List<Stream> streams = new ArrayList<>();

		private final List<End> ends = new ArrayList<>();

		private final Map<String, Long> unreachableSinceMillis = new HashMap<>();

		private DownloadScheduler schedule;

		private long knowsAllMillis = Long.MAX_VALUE;

		private long stopMillis = Long.MAX_VALUE;

		private long startMillis = Long.MAX_VALUE;

		private double credit;

		private boolean idle;

		Agent(Upstream engine, List<Upstream> engines) {
			this.engine = engine;
			this.engines = engines;
			this.schedule = new DownloadScheduler(plan(engine, engines));
		}

		private boolean running() {
			long now = TransferSimulation.this.nowMillis;
			return now < this.stopMillis || now >= this.startMillis;
		}

		private BitSet missing() {
			BitSet missing = new BitSet();
			missing.set(0, PIECES);
			missing.andNot(this.arrived);
			return missing;
		}

		private void endLater(ChunkRequest request, boolean reached, long inMillis) {
			this.ends.add(new End(request, reached, TransferSimulation.this.nowMillis + inMillis));
		}

		private void stopOrStart() {
			if (!running()) {
				this.streams.forEach((stream) -> stream.receiver.endLater(stream.request, true, 0));
				this.streams.clear();
				TransferSimulation.this.agents.values()
					.forEach((agent) -> agent.streams.removeIf((stream) -> stream.receiver == this));
				TransferSimulation.this.atOrigin.removeIf((request) -> request.agent == this);
				this.ends.clear();
				this.arrived.clear();
				this.schedule = new DownloadScheduler(plan(this.engine, this.engines));
				this.idle = false;
			}
			else if (TransferSimulation.this.nowMillis >= this.knowsAllMillis) {
				this.knowsAllMillis = Long.MAX_VALUE;
				this.schedule.updatePlan(plan(this.engine, this.engines));
				this.idle = false;
			}
		}

		/**
		 * Sends pieces to the receivers in turns.
		 */
		private void send() {
			long now = TransferSimulation.this.nowMillis;
			this.credit = Math.min(this.credit + UPLOAD_SHARE * LINK_BYTES_PER_MILLI * STEP_MILLIS, MAX_CREDIT_BYTES);
			for (Stream stream : List.copyOf(this.streams)) {
				if (this.credit >= PIECE_BYTES && stream.send(this.arrived, now)) {
					this.credit -= PIECE_BYTES;
					this.streams.remove(stream);
					this.streams.add(stream);
				}
			}
			this.streams.stream()
				.filter((stream) -> stream.ended(now))
				.forEach((stream) -> stream.receiver.endLater(stream.request, true, 0));
			this.streams.removeIf((stream) -> stream.ended(now));
		}

		private void proceed() {
			if (!running()) {
				return;
			}
			long now = TransferSimulation.this.nowMillis;
			List<End> due = this.ends.stream().filter((end) -> end.atMillis() <= now).toList();
			due.forEach(this::end);
			this.ends.removeAll(due);
			if (!this.idle && !missing().isEmpty()) {
				this.idle = true;
				this.schedule.nextRequests(missing(), this::reachable, now).forEach(this::begin);
			}
		}

		private void end(End end) {
			this.idle = false;
			if (end.request() instanceof ChunkRequest.FromPeer fromPeer && !end.reached()) {
				this.unreachableSinceMillis.put(fromPeer.peer().id(), TransferSimulation.this.nowMillis);
			}
			this.schedule.onRequestEnd(end.request(), end.reached(), missing(), TransferSimulation.this.nowMillis);
			if (end.request() instanceof ChunkRequest.FromOrigin fromOrigin && missing().get(fromOrigin.index())) {
				this.schedule.updatePlan(plan(this.engine, this.engines));
			}
		}

		private boolean reachable(Upstream peer) {
			Long sinceMillis = this.unreachableSinceMillis.get(peer.id());
			return sinceMillis == null || TransferSimulation.this.nowMillis - sinceMillis >= UNREACHABLE_MILLIS;
		}

		private void begin(ChunkRequest request) {
			switch (request) {
				case ChunkRequest.FromOrigin fromOrigin -> askOrigin(this, fromOrigin);
				case ChunkRequest.FromPeer fromPeer -> {
					Agent peer = TransferSimulation.this.agents.get(fromPeer.peer().id());
					if (peer.running()) {
						peer.streams.add(new Stream(this, fromPeer, TransferSimulation.this.nowMillis));
					}
					else {
						endLater(request, false, CONNECT_MILLIS);
					}
				}
			}
		}

	}

}
