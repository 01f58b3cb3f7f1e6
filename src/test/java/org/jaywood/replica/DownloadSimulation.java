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
 * Simulates how agents pass a version on to each other, each with its own
 * {@link DownloadScheduler} and in simulated time. Models links of limited speed, an
 * origin with few connections that goes down and returns, and agents that stop and
 * restart without chunks. Processor time and packet loss are not modelled.
 */
final class DownloadSimulation {

	static final int CHUNKS = 96;

	private static final int CHUNK_BYTES = 24_576;

	private static final long STEP_MILLIS = 5;

	/** Speed of each link, including that of the origin. */
	private static final int LINK_BYTES_PER_MILLI = 912;

	/** Fraction of a link that chunks may take. */
	private static final double UPLOAD_FRACTION = 0.82;

	/** Bytes that a link may be ahead of its speed: two chunks. */
	private static final double MAX_CREDIT_BYTES = 2.0 * CHUNK_BYTES;

	/** Maximum number of connections that the origin supports. */
	private static final int ORIGIN_CONNECTIONS = 48;

	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	private static final long ORIGIN_RETRY_DELAY_MILLIS = 150;

	private static final long UNREACHABLE_RETRY_MILLIS = 2_000;

	private final Map<String, Agent> agents;

	private final ModelVersion target;

	private final String originRegion;

	private final Queue<OriginRequest> originQueue = new ArrayDeque<>();

	private final Set<Integer> distinctOriginChunks = new HashSet<>();

	private long originDownMillis = Long.MAX_VALUE;

	private long originUpMillis = Long.MAX_VALUE;

	/** Time after which a request that the origin had taken before it stopped fails. */
	private long pendingFailureMillis;

	private int originChunkCount;

	private double originCreditBytes;

	private long nowMillis;

	DownloadSimulation(List<Upstream> engines, ModelVersion target, String originRegion) {
		this.target = target;
		this.originRegion = originRegion;
		this.agents = engines.stream().collect(Collectors.toMap(Upstream::id, (engine) -> new Agent(engine, engines)));
	}

	/**
	 * Makes the origin refuse connections for a time.
	 */
	void stopOrigin(long downMillis, long upMillis) {
		this.originDownMillis = downMillis;
		this.originUpMillis = upMillis;
	}

	/**
	 * Makes the origin silent for a time, without closing its connections.
	 * @param requestTimeoutMillis time after which agents give up a request that it has
	 * taken
	 */
	void silenceOrigin(long downMillis, long upMillis, long requestTimeoutMillis) {
		stopOrigin(downMillis, upMillis);
		this.pendingFailureMillis = requestTimeoutMillis;
	}

	/**
	 * Stops an agent and restarts it without chunks.
	 */
	void restart(Upstream engine, long stopMillis, long startMillis) {
		Agent agent = this.agents.get(engine.id());
		agent.stopMillis = stopMillis;
		agent.startMillis = startMillis;
	}

	/**
	 * Makes an agent plan with a different list of engines up to a time.
	 */
	void limitKnownEngines(Upstream engine, List<Upstream> engines, long endMillis) {
		Agent agent = this.agents.get(engine.id());
		agent.scheduler = new DownloadScheduler(plan(engine, engines));
		agent.fullPlanMillis = endMillis;
	}

	/**
	 * Runs until all agents have all chunks, at most up to a time.
	 */
	void run(long endMillis) {
		while (this.nowMillis < endMillis && !isComplete()) {
			step();
		}
	}

	boolean isComplete() {
		return this.agents.values().stream().allMatch((agent) -> agent.missing().isEmpty());
	}

	/**
	 * Returns the number of chunks that the origin has sent, repeated ones included.
	 */
	int originChunkCount() {
		return this.originChunkCount;
	}

	String describe() {
		List<Integer> missing = this.agents.values()
			.stream()
			.map((agent) -> agent.missing().cardinality())
			.sorted()
			.toList();
		return "after " + this.nowMillis + " ms agents lack " + missing.getFirst() + " to " + missing.getLast()
				+ " chunks, half of them " + missing.get(missing.size() / 2) + "; the origin sent "
				+ this.originChunkCount + ", " + this.distinctOriginChunks.size() + " of them distinct";
	}

	private FanOutPlan plan(Upstream engine, List<Upstream> engines) {
		return new FanOutPlan(engine, engines, this.target, this.originRegion);
	}

	private void step() {
		this.nowMillis += STEP_MILLIS;
		if (isOriginDown()) {
			this.originQueue.forEach((request) -> request.agent.endLater(request.request, true,
					this.pendingFailureMillis + ORIGIN_RETRY_DELAY_MILLIS));
			this.originQueue.clear();
		}
		sendFromOrigin();
		this.agents.values().forEach(Agent::stopOrStart);
		this.agents.values().forEach(Agent::send);
		this.agents.values().forEach(Agent::runRequests);
	}

	private boolean isOriginDown() {
		return this.nowMillis >= this.originDownMillis && this.nowMillis < this.originUpMillis;
	}

	private void sendFromOrigin() {
		this.originCreditBytes = Math.min(this.originCreditBytes + LINK_BYTES_PER_MILLI * STEP_MILLIS,
				MAX_CREDIT_BYTES);
		while (this.originCreditBytes >= CHUNK_BYTES && !this.originQueue.isEmpty()) {
			this.originCreditBytes -= CHUNK_BYTES;
			OriginRequest next = this.originQueue.remove();
			this.originChunkCount++;
			this.distinctOriginChunks.add(next.request.index());
			next.agent.received.set(next.request.index());
			next.agent.endLater(next.request, true, 0);
		}
	}

	private void requestFromOrigin(Agent agent, ChunkRequest.FromOrigin request) {
		if (isOriginDown()) {
			agent.endLater(request, true, ORIGIN_RETRY_DELAY_MILLIS);
		}
		else if (this.originQueue.size() >= ORIGIN_CONNECTIONS) {
			agent.endLater(request, true, CONNECT_TIMEOUT_MILLIS + ORIGIN_RETRY_DELAY_MILLIS);
		}
		else {
			this.originQueue.add(new OriginRequest(agent, request));
		}
	}

	private record OriginRequest(Agent agent, ChunkRequest.FromOrigin request) {
	}

	private record RequestEnd(ChunkRequest request, boolean reached, long atMillis) {
	}

	/**
	 * The chunks that one agent streams to another.
	 */
	private static final class ChunkStream {

		private final Agent receiver;

		private final ChunkRequest.FromPeer request;

		private final BitSet unsent;

		private long lastSentMillis;

		ChunkStream(Agent receiver, ChunkRequest.FromPeer request, long nowMillis) {
			this.receiver = receiver;
			this.request = request;
			this.unsent = (BitSet) request.chunkIndexes().clone();
			this.lastSentMillis = nowMillis;
		}

		/**
		 * Sends a chunk that the sender has.
		 * @return whether there was one
		 */
		boolean send(BitSet available, long nowMillis) {
			BitSet ready = (BitSet) this.unsent.clone();
			ready.and(available);
			if (ready.isEmpty()) {
				return false;
			}
			this.unsent.clear(ready.nextSetBit(0));
			this.receiver.received.set(ready.nextSetBit(0));
			this.lastSentMillis = nowMillis;
			return true;
		}

		boolean hasEnded(long nowMillis) {
			return this.unsent.isEmpty() || nowMillis - this.lastSentMillis >= this.request.waitMillis();
		}

	}

	private final class Agent {

		private final Upstream engine;

		private final List<Upstream> engines;

		private final BitSet received = new BitSet();

		private final List<ChunkStream> streams = new ArrayList<>();

		private final List<RequestEnd> requestEnds = new ArrayList<>();

		private final Map<String, Long> unreachableSinceMillis = new HashMap<>();

		private DownloadScheduler scheduler;

		private long fullPlanMillis = Long.MAX_VALUE;

		private long stopMillis = Long.MAX_VALUE;

		private long startMillis = Long.MAX_VALUE;

		private double creditBytes;

		private boolean requestsStarted;

		Agent(Upstream engine, List<Upstream> engines) {
			this.engine = engine;
			this.engines = engines;
			this.scheduler = new DownloadScheduler(plan(engine, engines));
		}

		private boolean isRunning() {
			long now = DownloadSimulation.this.nowMillis;
			return now < this.stopMillis || now >= this.startMillis;
		}

		private BitSet missing() {
			BitSet missing = new BitSet();
			missing.set(0, CHUNKS);
			missing.andNot(this.received);
			return missing;
		}

		private void endLater(ChunkRequest request, boolean reached, long inMillis) {
			this.requestEnds.add(new RequestEnd(request, reached, DownloadSimulation.this.nowMillis + inMillis));
		}

		private void stopOrStart() {
			if (!isRunning()) {
				this.streams.forEach((stream) -> stream.receiver.endLater(stream.request, true, 0));
				this.streams.clear();
				DownloadSimulation.this.agents.values()
					.forEach((agent) -> agent.streams.removeIf((stream) -> stream.receiver == this));
				DownloadSimulation.this.originQueue.removeIf((request) -> request.agent == this);
				this.requestEnds.clear();
				this.received.clear();
				this.scheduler = new DownloadScheduler(plan(this.engine, this.engines));
				this.requestsStarted = false;
			}
			else if (DownloadSimulation.this.nowMillis >= this.fullPlanMillis) {
				this.fullPlanMillis = Long.MAX_VALUE;
				this.scheduler.updatePlan(plan(this.engine, this.engines));
				this.requestsStarted = false;
			}
		}

		/**
		 * Sends chunks to the receivers in turn.
		 */
		private void send() {
			long now = DownloadSimulation.this.nowMillis;
			this.creditBytes = Math.min(this.creditBytes + UPLOAD_FRACTION * LINK_BYTES_PER_MILLI * STEP_MILLIS,
					MAX_CREDIT_BYTES);
			for (ChunkStream stream : List.copyOf(this.streams)) {
				if (this.creditBytes >= CHUNK_BYTES && stream.send(this.received, now)) {
					this.creditBytes -= CHUNK_BYTES;
					this.streams.remove(stream);
					this.streams.add(stream);
				}
			}
			this.streams.stream()
				.filter((stream) -> stream.hasEnded(now))
				.forEach((stream) -> stream.receiver.endLater(stream.request, true, 0));
			this.streams.removeIf((stream) -> stream.hasEnded(now));
		}

		private void runRequests() {
			if (!isRunning()) {
				return;
			}
			long now = DownloadSimulation.this.nowMillis;
			List<RequestEnd> dueEnds = this.requestEnds.stream().filter((end) -> end.atMillis() <= now).toList();
			dueEnds.forEach(this::endRequest);
			this.requestEnds.removeAll(dueEnds);
			if (!this.requestsStarted && !missing().isEmpty()) {
				this.requestsStarted = true;
				this.scheduler.nextRequests(missing(), this::isReachable, now).forEach(this::startRequest);
			}
		}

		private void endRequest(RequestEnd end) {
			this.requestsStarted = false;
			if (end.request() instanceof ChunkRequest.FromPeer fromPeer && !end.reached()) {
				this.unreachableSinceMillis.put(fromPeer.peer().id(), DownloadSimulation.this.nowMillis);
			}
			this.scheduler.onRequestEnd(end.request(), end.reached(), missing(), DownloadSimulation.this.nowMillis);
			if (end.request() instanceof ChunkRequest.FromOrigin fromOrigin && missing().get(fromOrigin.index())) {
				this.scheduler.updatePlan(plan(this.engine, this.engines));
			}
		}

		private boolean isReachable(Upstream peer) {
			Long failedMillis = this.unreachableSinceMillis.get(peer.id());
			return failedMillis == null || DownloadSimulation.this.nowMillis - failedMillis >= UNREACHABLE_RETRY_MILLIS;
		}

		private void startRequest(ChunkRequest request) {
			switch (request) {
				case ChunkRequest.FromOrigin fromOrigin -> requestFromOrigin(this, fromOrigin);
				case ChunkRequest.FromPeer fromPeer -> {
					Agent peer = DownloadSimulation.this.agents.get(fromPeer.peer().id());
					if (peer.isRunning()) {
						peer.streams.add(new ChunkStream(this, fromPeer, DownloadSimulation.this.nowMillis));
					}
					else {
						endLater(request, false, CONNECT_TIMEOUT_MILLIS);
					}
				}
			}
		}

	}

}
