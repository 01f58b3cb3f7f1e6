package org.jaywood.router;

import java.util.concurrent.CompletableFuture;

/**
 * State of a call in a {@link FairQueue}, guarded by the lock of the queue.
 */
final class QueuedCall {

	private final String workspace;

	private final int share;

	private final int priority;

	private final long sequence;

	private double chargedMillis;

	private long startedMillis;

	private boolean hasPermit;

	private boolean grantedByProbe;

	private CompletableFuture<Boolean> permitDecision = new CompletableFuture<>();

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

	boolean hasPermit() {
		return this.hasPermit;
	}

	/**
	 * Whether the permit was granted by a probe and not because another call ended.
	 */
	boolean grantedByProbe() {
		return this.grantedByProbe;
	}

	double chargedMillis() {
		return this.chargedMillis;
	}

	long startedMillis() {
		return this.startedMillis;
	}

	void grantPermit(double chargeMillis, long nowMillis, boolean byProbe) {
		this.chargedMillis = chargeMillis;
		this.startedMillis = nowMillis;
		this.hasPermit = true;
		this.grantedByProbe = byProbe;
		this.permitDecision.complete(true);
	}

	CompletableFuture<Boolean> resetPermit() {
		this.hasPermit = false;
		this.chargedMillis = 0;
		this.permitDecision = new CompletableFuture<>();
		return this.permitDecision;
	}

	void reject() {
		this.permitDecision.complete(false);
	}

}
