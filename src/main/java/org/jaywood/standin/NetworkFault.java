package org.jaywood.standin;

import org.jspecify.annotations.Nullable;

/**
 * Fault on the connections between two sets of VMs. A selector is the name of a VM, a
 * data centre or a region, or {@code *} for all VMs.
 *
 * @param kind effect of the fault
 * @param source selects the VM that opens the connection
 * @param destination selects the VM that accepts it
 * @param direction which bytes are affected
 * @param delayMillis one-way delay that is added by {@link Kind#DELAY}
 * @param probability probability with which {@link Kind#CORRUPT} flips a byte of a block;
 * 0 if it flips the byte {@code atByte}
 * @param atByte byte that {@link Kind#CORRUPT} flips or after which {@link Kind#TRUNCATE}
 * closes, counted in each connection and direction from the first byte under this fault
 * @param times number of times that the fault takes effect, 0 for no limit; used by
 * {@link Kind#CORRUPT}, {@link Kind#TRUNCATE} and {@link Kind#LOSE_REPLIES} only
 */
record NetworkFault(Kind kind, String source, String destination, Direction direction, long delayMillis,
		double probability, long atByte, int times) {

	NetworkFault(Kind kind, @Nullable String source, @Nullable String destination, @Nullable Direction direction,
			long delayMillis, double probability, long atByte, int times) {
		this.kind = kind;
		this.source = (source != null) ? source : "*";
		this.destination = (destination != null) ? destination : "*";
		this.direction = (direction != null) ? direction : Direction.BOTH;
		this.delayMillis = delayMillis;
		this.probability = probability;
		this.atByte = atByte;
		this.times = times;
	}

	/**
	 * Whether this fault applies to connections that one VM opens to another. A partition
	 * also applies to connections in the opposite direction.
	 */
	boolean appliesTo(NetworkVm opener, NetworkVm acceptor) {
		boolean forward = opener.matches(this.source) && acceptor.matches(this.destination);
		boolean backward = acceptor.matches(this.source) && opener.matches(this.destination);
		return forward || (this.kind == Kind.PARTITION && backward);
	}

	/**
	 * Whether bytes of a direction are affected.
	 * @param reply whether the bytes flow to the opener of the connection
	 */
	boolean affects(boolean reply) {
		return this.direction == Direction.BOTH || (this.direction == Direction.REPLY) == reply;
	}

	/**
	 * Effect of a fault.
	 */
	enum Kind {

		/** Resets the open connections and each new one. */
		CUT,

		/** Accepts connections but forwards nothing until the fault is removed. */
		FREEZE,

		/**
		 * Forwards nothing in either direction, whichever side opened the connection. As
		 * with lost packets, neither side sees an error, and the bytes arrive after the
		 * fault is removed.
		 */
		PARTITION,

		/** Delays each block. */
		DELAY,

		/** Flips a byte. */
		CORRUPT,

		/** Closes the connection without a reset before all bytes are forwarded. */
		TRUNCATE,

		/** Forwards requests, drops the first reply bytes and resets the connection. */
		LOSE_REPLIES

	}

	/**
	 * Bytes that a fault affects.
	 */
	enum Direction {

		/** Bytes from the opener of the connection. */
		REQUEST,

		/** Bytes to the opener of the connection. */
		REPLY,

		/** All bytes. */
		BOTH

	}

}
