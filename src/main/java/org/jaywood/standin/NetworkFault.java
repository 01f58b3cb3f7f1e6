package org.jaywood.standin;

import org.jspecify.annotations.Nullable;

/**
 * A fault on the connections between two selections of VMs. A selector is the name of a
 * VM, a data centre or a region, or {@code *}.
 *
 * @param kind what happens
 * @param source selects the VM that opens the connection
 * @param destination selects the VM that accepts it
 * @param direction which bytes are affected
 * @param delayMillis added one-way delay of {@link Kind#DELAY}
 * @param probability chance for each block of {@link Kind#CORRUPT} to have a byte flipped
 * @param atByte byte that {@link Kind#CORRUPT} flips or after which {@link Kind#TRUNCATE}
 * closes, counted in each connection and direction from the first byte under this fault
 * @param times number of times that it strikes, 0 for no limit
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
	 * applies both ways.
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
	 * What a fault does.
	 */
	enum Kind {

		/** Resets open connections and each new one. */
		CUT,

		/** Accepts connections but forwards nothing until the fault is removed. */
		FREEZE,

		/**
		 * Forwards nothing in either direction, whoever opened the connection. As with
		 * lost packets, neither side sees an error, and bytes arrive after the end.
		 */
		PARTITION,

		/** Adds delay. */
		DELAY,

		/** Flips a byte. */
		CORRUPT,

		/** Closes the connection in the middle of the bytes. */
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
