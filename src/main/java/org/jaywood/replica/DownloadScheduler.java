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
 * Decides which pieces of a copy are asked of whom next. It answers the load of a version
 * that all agents of a large fleet lack at once: each asks few peers, and each of them
 * for all pieces that it is to pass on, so that neither the connections of an agent nor
 * those of the origin grow with the fleet. A piece that a source does not have in time is
 * asked of the next source of the plan, and after the last one of the first one again: a
 * source that lacks a piece now may have it later. The link of the origin is for the
 * agents at the first places of the trees. Others turn to it after rounds in vain, those
 * at lower places later, so that a piece leaves the origin a few times at most, also
 * after an outage in which nobody got it. Not safe for use by several threads.
 */
final class DownloadScheduler {

	/** Peers asked at once. */
	private static final int MAX_CONCURRENT_PEERS = 12;

	/** Connections to the origin that all agents of its region share. */
	private static final int ORIGIN_CONNECTIONS = 32;

	/** Requests of one agent that fill its part of the link of the origin. */
	private static final int MAX_ORIGIN_REQUESTS = 2;

	/** Wait at the first source, for a piece that may still be on its way there. */
	private static final long FIRST_SOURCE_WAIT_MILLIS = 1_500;

	/** Wait at a later source, which should have the piece already. */
	private static final long LATER_SOURCE_WAIT_MILLIS = 700;

	/**
	 * Shortest time of a round in vain: longer than the origin takes to send a copy.
	 */
	private static final long MIN_ROUND_MILLIS = 4_000;

	/** Largest number of rounds that is told apart. */
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
	 * Takes a plan made of newer knowledge. Rounds in vain go on counting.
	 */
	void updatePlan(FanOutPlan latest) {
		this.plan = latest;
		this.sources.replaceAll((index, known) -> known.withPlan(latest.sources(index), latest.originRank(index)));
		this.maxOriginRequests = Math.clamp(ORIGIN_CONNECTIONS / Math.max(1, latest.regionSize()), 1,
				MAX_ORIGIN_REQUESTS);
	}

	/**
	 * The requests to begin now.
	 * @param missing pieces that have not arrived
	 * @param reachable whether a peer may be asked
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
		BitSet open = (BitSet) missing.clone();
		open.andNot(this.requestedFromPeers);
		Map<String, ChunkRequest.FromPeer> byPeer = new HashMap<>();
		open.stream()
			.forEach((index) -> sources(index).nextPeer(reachable)
				.ifPresent((peer) -> addToPeerRequest(peer, index, byPeer)));
		byPeer.values().forEach((request) -> this.requestedFromPeers.or(request.chunkIndexes()));
		return byPeer.values();
	}

	private void addToPeerRequest(Upstream peer, int index, Map<String, ChunkRequest.FromPeer> byPeer) {
		ChunkRequest.FromPeer begun = byPeer.get(peer.id());
		if (begun != null) {
			begun.chunkIndexes().set(index);
		}
		else if (this.requestedPeers.size() < MAX_CONCURRENT_PEERS && this.requestedPeers.add(peer.id())) {
			BitSet pieces = new BitSet();
			pieces.set(index);
			byPeer.put(peer.id(), new ChunkRequest.FromPeer(peer, pieces,
					sources(index).startsAtFirstPeer() ? FIRST_SOURCE_WAIT_MILLIS : LATER_SOURCE_WAIT_MILLIS));
		}
	}

	/**
	 * Pieces for the origin, first those for which it is the turn of this agent soonest.
	 */
	private List<ChunkRequest.FromOrigin> originRequests(BitSet missing, Predicate<Upstream> reachable) {
		BitSet open = (BitSet) missing.clone();
		open.andNot(this.requestedFromOrigin);
		List<ChunkRequest.FromOrigin> requests = open.stream()
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
	 * Notes the end of a request.
	 * @param reached whether the other process could be asked at all
	 * @param missing pieces that have not arrived
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
					this.sources.values().forEach((known) -> known.onOriginFailure(nowMillis));
				}
			}
		}
	}

	/**
	 * The pieces that are asked of the origin now.
	 */
	BitSet requestedFromOrigin() {
		return (BitSet) this.requestedFromOrigin.clone();
	}

	/**
	 * Ids of the engines whose agents are asked now.
	 */
	Set<String> requestedPeers() {
		return Set.copyOf(this.requestedPeers);
	}

	private ChunkSources sources(int index) {
		return Objects.requireNonNull(this.sources.get(index), "sources of a piece that was missing");
	}

	/**
	 * The sources of one piece, which are asked in rounds.
	 */
	private static final class ChunkSources {

		private final List<Upstream> peers;

		private final int originRank;

		private int startPosition;

		/** Rounds in vain since the origin last failed. */
		private int failedRounds;

		private long roundStartMillis;

		ChunkSources(List<Upstream> peers, int originTurn, int rounds, long roundSinceMillis) {
			this.peers = peers;
			this.originRank = originTurn;
			this.failedRounds = rounds;
			this.roundStartMillis = roundSinceMillis;
		}

		ChunkSources withPlan(List<Upstream> latest, int latestTurn) {
			boolean same = latest.equals(this.peers) && latestTurn == this.originRank;
			return same ? this : new ChunkSources(latest, latestTurn, this.failedRounds, this.roundStartMillis);
		}

		int originRank() {
			return this.originRank;
		}

		/**
		 * Whether the peer to be asked next is the first one.
		 */
		boolean startsAtFirstPeer() {
			return this.startPosition == 0;
		}

		/**
		 * The next peer to ask, empty if none can be reached.
		 */
		Optional<Upstream> nextPeer(Predicate<Upstream> reachable) {
			return Stream
				.concat(this.peers.stream().skip(this.startPosition), this.peers.stream().limit(this.startPosition))
				.filter(reachable)
				.findFirst();
		}

		/**
		 * Goes on to the peer behind one that does not have the piece. A round is over
		 * behind the last peer that can be reached.
		 */
		void advancePast(Upstream peer, long nowMillis) {
			int position = this.peers.indexOf(peer) + 1;
			if (position == 0) {
				return;
			}
			boolean over = position <= this.startPosition || position == this.peers.size();
			this.startPosition = position % this.peers.size();
			if (over && nowMillis - this.roundStartMillis >= MIN_ROUND_MILLIS) {
				this.roundStartMillis = nowMillis;
				this.failedRounds = Math.min(this.failedRounds + 1, MAX_COUNTED_ROUNDS);
			}
		}

		/**
		 * Whether the origin may be asked: at once if no peer can be reached, else with
		 * each round in vain by twice as many agents.
		 */
		boolean mayAskOrigin(Predicate<Upstream> reachable) {
			boolean due = this.failedRounds > 0 && this.originRank >> this.failedRounds == 0;
			return due || this.peers.stream().noneMatch(reachable);
		}

		void onOriginFailure(long nowMillis) {
			this.failedRounds = 0;
			this.roundStartMillis = nowMillis;
		}

	}

}
