package org.jaywood.wire;

/**
 * What a reservation of a {@link MemoryBudget} is for.
 */
public enum MemoryUse {

	/** Connection of a caller, at rest or not. */
	CALLER_CONNECTION,

	/** Connection to an upstream, at rest. */
	UPSTREAM_CONNECTION,

	/** Head and body of a request that a gateway reads. */
	REQUEST,

	/** Bytes of an answer of an upstream that are not passed on yet. */
	ANSWER,

	/** Messages of other processes of ours and load reports of engines. */
	PEER_MESSAGE,

	/** Pages and objects of the store. */
	STORE_PAGE,

	/** Body, credit window and buffered answers of one caller of a router. */
	ROUTER_CALLER

}
