package org.jaywood.replica;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.jaywood.routing.Upstream;

/**
 * Decides which chunks of a download are requested from which source next. Designed for a
 * version that all agents of a large fleet lack at once: each agent asks few peers, and
 * each peer for all chunks that it passes on, so that neither the connections of an agent
 * nor those of the origin grow with the fleet. A chunk that a source does not deliver in
 * time is requested from the next source of the plan, and after the last one from the
 * first again, since a source that lacks a chunk now may have it later. The link of the
 * origin is reserved for the agents at the first positions of the trees. Other agents ask
 * the origin only after failed rounds, those with a higher rank later, so that a chunk
 * leaves the origin a few times at most, also after an outage in which no agent received
 * it. Not thread-safe.
 */
final class DownloadScheduler {

	/** Maximum number of peers with a request in flight. */
	private static final int MAX_CONCURRENT_PEERS = 12;

	/** Connections to the origin, shared by all agents of its region. */
	private static final int ORIGIN_CONNECTIONS = 32;

	/** Requests with which one agent fills its share of the link of the origin. */
	private static final int MAX_ORIGIN_REQUESTS = 2;

	/** Wait at the first source, which may still be receiving the chunk. */
	private static final long FIRST_SOURCE_WAIT_MILLIS = 1_500;

	/** Wait at a later source, which should have the chunk already. */
	private static final long LATER_SOURCE_WAIT_MILLIS = 700;

	/**
	 * Minimum time of a failed round: longer than the origin takes to send a copy.
	 */
	private static final long MIN_ROUND_MILLIS = 4_000;

	/** Maximum number of failed rounds that is counted. */
	private static final int MAX_COUNTED_ROUNDS = 16;

	private final Map<Integer, ChunkSources> sources = new HashMap<>();

	private final BitSet requestedFromPeers = new BitSet();

	private final BitSet requestedFromOrigin = new BitSet();

	private final Set<String> requestedPeers = new HashSet<>();

	private FanOutPlan plan;

	private int maxOriginRequests;

	DownloadScheduler(FanOutPlan plan) {
		this.plan = plan;
		updatePlan(plan);
	}

	/**
	 * Replaces the plan by one from a newer service snapshot. The counts of failed rounds
	 * are kept.
	 */
	void updatePlan(FanOutPlan latest) {
		this.plan = latest;
		this.sources.replaceAll(
				(index, chunkSources) -> chunkSources.withPlan(latest.sources(index), latest.originRank(index)));
		this.maxOriginRequests = Math.clamp(ORIGIN_CONNECTIONS / Math.max(1, latest.regionSize()), 1,
				MAX_ORIGIN_REQUESTS);
	}

	/**
	 * Returns the requests to start now.
	 * @param missing chunks that have not been received
	 * @param reachable whether a peer can be reached
	 */
	List<ChunkRequest> nextRequests(BitSet missing, Predicate<Upstream> reachable, long nowMillis) {
		missing.stream()
			.forEach((index) -> this.sources.computeIfAbsent(index,
					(key) -> new ChunkSources(this.plan.sources(key), this.plan.originRank(key), 0, nowMillis)));
		List<ChunkRequest> requests = new ArrayList<>(peerRequests(missing, reachable));
		requests.addAll(originRequests(missing, reachable));
		return requests;
	}

	private Collection<ChunkRequest.FromPeer> peerRequests(BitSet missing, Predicate<Upstream> reachable) {
		BitSet requestable = (BitSet) missing.clone();
		requestable.andNot(this.requestedFromPeers);
		Map<String, ChunkRequest.FromPeer> byPeer = new HashMap<>();
		requestable.stream()
			.forEach((index) -> sources(index).nextPeer(reachable)
				.ifPresent((peer) -> addToPeerRequest(peer, index, byPeer)));
		byPeer.values().forEach((request) -> this.requestedFromPeers.or(request.chunkIndexes()));
		return byPeer.values();
	}

	private void addToPeerRequest(Upstream peer, int index, Map<String, ChunkRequest.FromPeer> byPeer) {
		ChunkRequest.FromPeer request = byPeer.get(peer.id());
		if (request != null) {
			request.chunkIndexes().set(index);
		}
		else if (this.requestedPeers.size() < MAX_CONCURRENT_PEERS && this.requestedPeers.add(peer.id())) {
			BitSet chunks = new BitSet();
			chunks.set(index);
			byPeer.put(peer.id(), new ChunkRequest.FromPeer(peer, chunks,
					sources(index).startsAtFirstPeer() ? FIRST_SOURCE_WAIT_MILLIS : LATER_SOURCE_WAIT_MILLIS));
		}
	}

	/**
	 * Returns requests to the origin, those in which this agent has the lowest rank
	 * first.
	 */
	private List<ChunkRequest.FromOrigin> originRequests(BitSet missing, Predicate<Upstream> reachable) {
		BitSet requestable = (BitSet) missing.clone();
		requestable.andNot(this.requestedFromOrigin);
		List<ChunkRequest.FromOrigin> requests = requestable.stream()
			.boxed()
			.filter((index) -> sources(index).mayAskOrigin(reachable))
			.sorted(Comparator.comparingInt((index) -> sources(index).originRank()))
			.limit(Math.max(0, this.maxOriginRequests - this.requestedFromOrigin.cardinality()))
			.map(ChunkRequest.FromOrigin::new)
			.toList();
		requests.forEach((request) -> this.requestedFromOrigin.set(request.index()));
		return requests;
	}

	/**
	 * Records the end of a request.
	 * @param reached whether a connection to the source was established
	 * @param missing chunks that have not been received
	 */
	void onRequestEnd(ChunkRequest request, boolean reached, BitSet missing, long nowMillis) {
		switch (request) {
			case ChunkRequest.FromPeer fromPeer -> {
				this.requestedFromPeers.andNot(fromPeer.chunkIndexes());
				this.requestedPeers.remove(fromPeer.peer().id());
				if (reached) {
					BitSet failed = (BitSet) fromPeer.chunkIndexes().clone();
					failed.and(missing);
					failed.stream().forEach((index) -> sources(index).advancePast(fromPeer.peer(), nowMillis));
				}
			}
			case ChunkRequest.FromOrigin fromOrigin -> {
				this.requestedFromOrigin.clear(fromOrigin.index());
				if (missing.get(fromOrigin.index())) {
					this.sources.values().forEach((chunkSources) -> chunkSources.onOriginFailure(nowMillis));
				}
			}
		}
	}

	/**
	 * Returns the chunks with a request to the origin in flight.
	 */
	BitSet requestedFromOrigin() {
		return (BitSet) this.requestedFromOrigin.clone();
	}

	/**
	 * Returns the ids of the engines whose agents have a request in flight.
	 */
	Set<String> requestedPeers() {
		return Set.copyOf(this.requestedPeers);
	}

	private ChunkSources sources(int index) {
		return Objects.requireNonNull(this.sources.get(index), "a missing chunk has no sources");
	}

	/**
	 * The sources of one chunk, which are asked in rounds.
	 */
	private static final class ChunkSources {

		private final List<Upstream> peers;

		private final int originRank;

		private int startPosition;

		/** Failed rounds since the last failure of the origin. */
		private int failedRounds;

		private long roundStartMillis;

		ChunkSources(List<Upstream> peers, int originRank, int failedRounds, long roundStartMillis) {
			this.peers = peers;
			this.originRank = originRank;
			this.failedRounds = failedRounds;
			this.roundStartMillis = roundStartMillis;
		}

		ChunkSources withPlan(List<Upstream> latest, int latestRank) {
			boolean same = latest.equals(this.peers) && latestRank == this.originRank;
			return same ? this : new ChunkSources(latest, latestRank, this.failedRounds, this.roundStartMillis);
		}

		int originRank() {
			return this.originRank;
		}

		/**
		 * Whether the search for the next peer starts at the first one.
		 */
		boolean startsAtFirstPeer() {
			return this.startPosition == 0;
		}

		/**
		 * Returns the next peer to ask, or empty if none can be reached.
		 */
		Optional<Upstream> nextPeer(Predicate<Upstream> reachable) {
			return Stream
				.concat(this.peers.stream().skip(this.startPosition), this.peers.stream().limit(this.startPosition))
				.filter(reachable)
				.findFirst();
		}

		/**
		 * Advances to the peer after one that did not deliver the chunk. A round ends
		 * after the last peer that can be reached.
		 */
		void advancePast(Upstream peer, long nowMillis) {
			int position = this.peers.indexOf(peer) + 1;
			if (position == 0) {
				return;
			}
			boolean roundOver = position <= this.startPosition || position == this.peers.size();
			this.startPosition = position % this.peers.size();
			if (roundOver && nowMillis - this.roundStartMillis >= MIN_ROUND_MILLIS) {
				this.roundStartMillis = nowMillis;
				this.failedRounds = Math.min(this.failedRounds + 1, MAX_COUNTED_ROUNDS);
			}
		}

		/**
		 * Whether this agent may ask the origin: at once if no peer can be reached, else
		 * after failed rounds; each failed round doubles the number of agents that may.
		 */
		boolean mayAskOrigin(Predicate<Upstream> reachable) {
			boolean allowedByRank = this.failedRounds > 0 && this.originRank >> this.failedRounds == 0;
			return allowedByRank || this.peers.stream().noneMatch(reachable);
		}

		void onOriginFailure(long nowMillis) {
			this.failedRounds = 0;
			this.roundStartMillis = nowMillis;
		}

	}

}
