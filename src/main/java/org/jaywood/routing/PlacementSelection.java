package org.jaywood.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Choice of an upstream among candidates, with what led to it.
 *
 * @param considered candidates without those that this gateway knows too little about
 * @param evaluated those of them that limits allow
 * @param bestShare lowest share of failed calls among all candidates
 * @param rules what a candidate must meet to have free capacity
 * @param heldBack whether all free capacity is left to more urgent calls
 * @param decision data centres in which the call may be placed
 * @param chosen the choice, empty if there is no free capacity
 */
record PlacementSelection(Collection<UpstreamState> considered, List<PlacementPolicy.Candidate> evaluated,
		double bestShare, CapacityRules rules, boolean heldBack, DataCentreChoice.Decision decision,
		Optional<PlacementPolicy.Candidate> chosen) {

	/**
	 * What an upstream must meet to have free capacity for a call.
	 *
	 * @param reserveCalls calls that it may hold beyond its capacity
	 * @param mayWait whether the call may wait for an engine that is not quiet
	 */
	record CapacityRules(double reserveCalls, boolean mayWait) {
	}

}
