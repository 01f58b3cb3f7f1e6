package org.jaywood.router;

import java.util.concurrent.CompletableFuture;

/**
 * A call as seen by {@link FairQueue}. Its state is guarded by the lock of its queue.
 */
final class QueuedCall {

	private final String workspace;

	private final int share;

	private final int priority;

	private final long sequence;

	private double chargedMillis;

	private long startedMillis;

	private boolean running;

	private boolean probing;

	private CompletableFuture<Boolean> turn = new CompletableFuture<>();

	QueuedCall(String workspace, int share, int priority, long sequence) {
		this.workspace = workspace;
		this.share = share;
		this.priority = priority;
		this.sequence = sequence;
	}

	String workspace() {
		return this.workspace;
	}

	int share() {
		return this.share;
	}

	int priority() {
		return this.priority;
	}

	long sequence() {
		return this.sequence;
	}

	boolean running() {
		return this.running;
	}

	/**
	 * Whether the turn came from the clock and not from an ended call.
	 */
	boolean probing() {
		return this.probing;
	}

	double chargedMillis() {
		return this.chargedMillis;
	}

	long startedMillis() {
		return this.startedMillis;
	}

	void start(double charge, long nowMillis, boolean probe) {
		this.chargedMillis = charge;
		this.startedMillis = nowMillis;
		this.running = true;
		this.probing = probe;
		this.turn.complete(true);
	}

	CompletableFuture<Boolean> stop() {
		this.running = false;
		this.chargedMillis = 0;
		this.turn = new CompletableFuture<>();
		return this.turn;
	}

	void reject() {
		this.turn.complete(false);
	}

}
