package org.jaywood.replica;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jaywood.routing.Upstream;

/**
 * Decides which pieces of a copy are asked of whom next. It answers the load of a version
 * that all agents of a large fleet lack at once: each asks few peers, and each of them
 * for all pieces that it is to pass on, so that neither the connections of an agent nor
 * those of the origin grow with the fleet. A piece that a source does not have in time is
 * asked of the next source of the plan, and of the origin after the last one. Not safe
 * for use by several threads.
 */
final class PieceSchedule {

	/** Peers asked at once. */
	private static final int MAX_PEERS = 12;

	/** Connections to the origin that all agents of its region share. */
	private static final int ORIGIN_CONNECTIONS = 32;

	/** Requests of one agent that fill its part of the link of the origin. */
	private static final int MAX_ORIGIN_REQUESTS = 2;

	/**
	 * Wait at the first source for a piece that is still on its way there: longer than
	 * the origin takes to send a copy.
	 */
	private static final long FIRST_WAIT_MILLIS = 4_000;

	/** Wait at a later source, which should have the piece already. */
	private static final long LATER_WAIT_MILLIS = 700;

	private final Map<Integer, List<Upstream>> sources = new HashMap<>();

	private final Map<Integer, Integer> tried = new HashMap<>();

	private final BitSet asked = new BitSet();

	private final Set<String> askedPeers = new HashSet<>();

	private SourcePlan plan;

	private final BitSet askedOfOrigin = new BitSet();

	private int originRequests;

	private int maxOriginRequests;

	PieceSchedule(SourcePlan plan) {
		this.plan = plan;
		follow(plan);
	}

	/**
	 * Takes a plan made of newer knowledge.
	 */
	void follow(SourcePlan latest) {
		this.plan = latest;
		this.sources.clear();
		this.tried.clear();
		this.maxOriginRequests = Math.clamp(ORIGIN_CONNECTIONS / Math.max(1, latest.regionSize()), 1,
				MAX_ORIGIN_REQUESTS);
	}

	/**
	 * The requests to begin now.
	 * @param missing pieces that have not arrived
	 * @param reachable whether a peer may be asked
	 */
	List<PieceRequest> next(BitSet missing, Predicate<Upstream> reachable) {
		BitSet open = (BitSet) missing.clone();
		open.andNot(this.asked);
		List<PieceRequest> requests = new ArrayList<>();
		Map<String, PieceRequest.FromPeer> byPeer = new HashMap<>();
		open.stream().forEach((index) -> {
			List<Upstream> left = sources(index).stream().skip(triedSources(index)).filter(reachable).toList();
			if (!left.isEmpty()) {
				askPeer(left.getFirst(), index, byPeer);
			}
			else if (this.originRequests < this.maxOriginRequests) {
				this.originRequests++;
				this.askedOfOrigin.set(index);
				requests.add(new PieceRequest.FromOrigin(index));
			}
		});
		requests.addAll(byPeer.values());
		requests.forEach((request) -> this.asked.or(request.pieces()));
		return requests;
	}

	private void askPeer(Upstream peer, int index, Map<String, PieceRequest.FromPeer> byPeer) {
		PieceRequest.FromPeer begun = byPeer.get(peer.id());
		if (begun != null) {
			begun.pieces().set(index);
		}
		else if (this.askedPeers.size() < MAX_PEERS && this.askedPeers.add(peer.id())) {
			BitSet pieces = new BitSet();
			pieces.set(index);
			byPeer.put(peer.id(), new PieceRequest.FromPeer(peer, pieces,
					(triedSources(index) == 0) ? FIRST_WAIT_MILLIS : LATER_WAIT_MILLIS));
		}
	}

	/**
	 * Notes the end of a request.
	 * @param reached whether the other process could be asked at all
	 * @param missing pieces that have not arrived
	 */
	void onEnd(PieceRequest request, boolean reached, BitSet missing) {
		this.asked.andNot(request.pieces());
		BitSet failed = (BitSet) request.pieces().clone();
		failed.and(missing);
		switch (request) {
			case PieceRequest.FromPeer fromPeer -> {
				this.askedPeers.remove(fromPeer.peer().id());
				if (reached) {
					failed.stream().forEach((index) -> skip(index, fromPeer.peer()));
				}
			}
			case PieceRequest.FromOrigin fromOrigin -> {
				this.originRequests--;
				this.askedOfOrigin.clear(fromOrigin.index());
				failed.stream().forEach(this.tried::remove);
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

	private void skip(int index, Upstream peer) {
		this.tried.put(index, sources(index).indexOf(peer) + 1);
	}

	private int triedSources(int index) {
		return this.tried.getOrDefault(index, 0);
	}

	private List<Upstream> sources(int index) {
		return this.sources.computeIfAbsent(index, this.plan::sources);
	}

}
