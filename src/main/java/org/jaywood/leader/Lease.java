package org.jaywood.leader;

import java.util.Map;

import org.jaywood.wire.Address;

/**
 * Content of the lease object.
 *
 * @param holder name of the VM of the leader
 * @param address operator port of the leader
 * @param process random id of the leader's process
 * @param term counter that rises with each change of the leader
 * @param era era of the store in which the leader wrote the object
 * @param states states of the leader tasks by name, which the next leader inherits
 */
public record Lease(String holder, Address address, String process, long term, long era,
		Map<String, SavedState> states) {

	/** Bits of a token below the era. */
	static final int TERM_BITS = 32;

	public Lease {
		states = Map.copyOf(states);
	}

	/**
	 * Returns the fencing token of the term: unique within an era of the store, since the
	 * term rises with each conditional write that changes the leader, and higher in each
	 * later era.
	 */
	public long token() {
		return (this.era << TERM_BITS) + this.term;
	}

}
