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
	private static final int MAX_PEERS = 12;

	/** Connections to the origin that all agents of its region share. */
	private static final int ORIGIN_CONNECTIONS = 32;

	/** Requests of one agent that fill its part of the link of the origin. */
	private static final int MAX_ORIGIN_REQUESTS = 2;

	/** Wait at the first source, for a piece that may still be on its way there. */
	private static final long FIRST_WAIT_MILLIS = 1_500;

	/** Wait at a later source, which should have the piece already. */
	private static final long LATER_WAIT_MILLIS = 700;

	/**
	 * Shortest time of a round in vain: longer than the origin takes to send a copy.
	 */
	private static final long ROUND_MILLIS = 4_000;

	/** Largest number of rounds that is told apart. */
	private static final int MAX_ROUNDS = 16;

	private final Map<Integer, Sources> sources = new HashMap<>();

	private final BitSet asked = new BitSet();

	private final BitSet askedOfOrigin = new BitSet();

	private final Set<String> askedPeers = new HashSet<>();

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
		this.sources.replaceAll((index, known) -> known.follow(latest.sources(index), latest.originRank(index)));
		this.maxOriginRequests = Math.clamp(ORIGIN_CONNECTIONS / Math.max(1, latest.regionSize()), 1,
				MAX_ORIGIN_REQUESTS);
	}

	/**
	 * The requests to begin now.
	 * @param missing pieces that have not arrived
	 * @param reachable whether a peer may be asked
	 */
	List<ChunkRequest> next(BitSet missing, Predicate<Upstream> reachable, long nowMillis) {
		missing.stream()
			.forEach((index) -> this.sources.computeIfAbsent(index,
					(key) -> new Sources(this.plan.sources(key), this.plan.originRank(key), 0, nowMillis)));
		List<ChunkRequest> requests = new ArrayList<>(ofPeers(missing, reachable));
		requests.addAll(ofOrigin(missing, reachable));
		return requests;
	}

	private Collection<ChunkRequest.FromPeer> ofPeers(BitSet missing, Predicate<Upstream> reachable) {
		BitSet open = (BitSet) missing.clone();
		open.andNot(this.asked);
		Map<String, ChunkRequest.FromPeer> byPeer = new HashMap<>();
		open.stream()
			.forEach((index) -> sources(index).next(reachable).ifPresent((peer) -> askPeer(peer, index, byPeer)));
		byPeer.values().forEach((request) -> this.asked.or(request.chunkIndexes()));
		return byPeer.values();
	}

	private void askPeer(Upstream peer, int index, Map<String, ChunkRequest.FromPeer> byPeer) {
		ChunkRequest.FromPeer begun = byPeer.get(peer.id());
		if (begun != null) {
			begun.chunkIndexes().set(index);
		}
		else if (this.askedPeers.size() < MAX_PEERS && this.askedPeers.add(peer.id())) {
			BitSet pieces = new BitSet();
			pieces.set(index);
			byPeer.put(peer.id(), new ChunkRequest.FromPeer(peer, pieces,
					sources(index).isFirst() ? FIRST_WAIT_MILLIS : LATER_WAIT_MILLIS));
		}
	}

	/**
	 * Pieces for the origin, first those for which it is the turn of this agent soonest.
	 */
	private List<ChunkRequest.FromOrigin> ofOrigin(BitSet missing, Predicate<Upstream> reachable) {
		BitSet open = (BitSet) missing.clone();
		open.andNot(this.askedOfOrigin);
		List<ChunkRequest.FromOrigin> requests = open.stream()
			.boxed()
			.filter((index) -> sources(index).mayAskOrigin(reachable))
			.sorted(Comparator.comparingInt((index) -> sources(index).originTurn()))
			.limit(Math.max(0, this.maxOriginRequests - this.askedOfOrigin.cardinality()))
			.map(ChunkRequest.FromOrigin::new)
			.toList();
		requests.forEach((request) -> this.askedOfOrigin.set(request.index()));
		return requests;
	}

	/**
	 * Notes the end of a request.
	 * @param reached whether the other process could be asked at all
	 * @param missing pieces that have not arrived
	 */
	void onEnd(ChunkRequest request, boolean reached, BitSet missing, long nowMillis) {
		switch (request) {
			case ChunkRequest.FromPeer fromPeer -> {
				this.asked.andNot(fromPeer.chunkIndexes());
				this.askedPeers.remove(fromPeer.peer().id());
				if (reached) {
					BitSet failed = (BitSet) fromPeer.chunkIndexes().clone();
					failed.and(missing);
					failed.stream().forEach((index) -> sources(index).skip(fromPeer.peer(), nowMillis));
				}
			}
			case ChunkRequest.FromOrigin fromOrigin -> {
				this.askedOfOrigin.clear(fromOrigin.index());
				if (missing.get(fromOrigin.index())) {
					this.sources.values().forEach((known) -> known.onOriginFailure(nowMillis));
				}
			}
		}
	}

	/**
	 * The pieces that are asked of the origin now.
	 */
	BitSet askedOfOrigin() {
		return (BitSet) this.askedOfOrigin.clone();
	}

	/**
	 * Ids of the engines whose agents are asked now.
	 */
	Set<String> askedOfPeers() {
		return Set.copyOf(this.askedPeers);
	}

	private Sources sources(int index) {
		return Objects.requireNonNull(this.sources.get(index), "sources of a piece that was missing");
	}

	/**
	 * The sources of one piece, which are asked in rounds.
	 */
	private static final class Sources {

		private final List<Upstream> peers;

		private final int originTurn;

		private int tried;

		/** Rounds in vain since the origin last failed. */
		private int rounds;

		private long roundSinceMillis;

		Sources(List<Upstream> peers, int originTurn, int rounds, long roundSinceMillis) {
			this.peers = peers;
			this.originTurn = originTurn;
			this.rounds = rounds;
			this.roundSinceMillis = roundSinceMillis;
		}

		Sources follow(List<Upstream> latest, int latestTurn) {
			boolean same = latest.equals(this.peers) && latestTurn == this.originTurn;
			return same ? this : new Sources(latest, latestTurn, this.rounds, this.roundSinceMillis);
		}

		int originTurn() {
			return this.originTurn;
		}

		/**
		 * Whether the peer to be asked next is the first one.
		 */
		boolean isFirst() {
			return this.tried == 0;
		}

		/**
		 * The next peer to ask, empty if none can be reached.
		 */
		Optional<Upstream> next(Predicate<Upstream> reachable) {
			return Stream.concat(this.peers.stream().skip(this.tried), this.peers.stream().limit(this.tried))
				.filter(reachable)
				.findFirst();
		}

		/**
		 * Goes on to the peer behind one that does not have the piece. A round is over
		 * behind the last peer that can be reached.
		 */
		void skip(Upstream peer, long nowMillis) {
			int position = this.peers.indexOf(peer) + 1;
			if (position == 0) {
				return;
			}
			boolean over = position <= this.tried || position == this.peers.size();
			this.tried = position % this.peers.size();
			if (over && nowMillis - this.roundSinceMillis >= ROUND_MILLIS) {
				this.roundSinceMillis = nowMillis;
				this.rounds = Math.min(this.rounds + 1, MAX_ROUNDS);
			}
		}

		/**
		 * Whether the origin may be asked: at once if no peer can be reached, else with
		 * each round in vain by twice as many agents.
		 */
		boolean mayAskOrigin(Predicate<Upstream> reachable) {
			boolean due = this.rounds > 0 && this.originTurn >> this.rounds == 0;
			return due || this.peers.stream().noneMatch(reachable);
		}

		void onOriginFailure(long nowMillis) {
			this.rounds = 0;
			this.roundSinceMillis = nowMillis;
		}

	}

}
