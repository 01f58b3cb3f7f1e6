package org.jaywood.agent;

import java.util.concurrent.TimeUnit;

import org.jaywood.wire.LoadReport;
import org.jaywood.wire.RefusalReason;

/**
 * Decides what the upstream of this agent may receive. A call reaches the upstream only
 * with a {@link Permit}, which is released exactly once. It counts calls and the bytes
 * that they hold at the upstream. There is no queue: a call that finds no room is refused
 * at once, so that its router can try another upstream.
 */
public final class AdmissionController {

	private static final long FULL_RETRY_AFTER_MILLIS = 100;

	private static final long COLD_RETRY_AFTER_MILLIS = 500;

	private static final long NOT_READY_RETRY_AFTER_MILLIS = 1_000;

	private final AdaptiveConcurrencyLimit concurrencyLimit = new AdaptiveConcurrencyLimit();

	private boolean open;

	private boolean draining;

	private boolean shuttingDown;

	/** Calls that gave up their place and wait to come back. */
	private int resumingCalls;

	private boolean earlierCallsEnded;

	private int inFlight;

	private int callsAwaitingHead;

	private int orphaned;

	private long heldBytes;

	private long memoryLimitBytes = Long.MAX_VALUE;

	private String servedWeights = "";

	// Between an opening and the next report; the activation has just checked the engine.
	private boolean awaitingWeightsReport;

	/**
	 * Admits a call or refuses it.
	 * @param requiredWeights digest of the weights that must serve it, empty for any
	 * @param bytes memory that it may hold at the upstream until it asks again
	 * @param maxBytes memory that it may hold at the upstream in the end
	 * @throws AdmissionRefusedException with the reason
	 */
	synchronized Permit admit(String requiredWeights, long bytes, long maxBytes) {
		if (this.shuttingDown) {
			throw new AdmissionRefusedException(RefusalReason.DRAINING, 0);
		}
		if (!this.open || !this.earlierCallsEnded) {
			throw new AdmissionRefusedException(RefusalReason.NOT_READY, NOT_READY_RETRY_AFTER_MILLIS);
		}
		// Would break later, when its own tokens fill the upstream's memory.
		if (maxBytes > this.memoryLimitBytes) {
			throw new AdmissionRefusedException(RefusalReason.MEMORY_FULL, FULL_RETRY_AFTER_MILLIS);
		}
		return acquirePermit(requiredWeights, bytes, this.resumingCalls);
	}

	/**
	 * Lets a call in again that was admitted before and gave up its place. Unlike a new
	 * call it may enter while the agent is leaving or draining, and new calls leave it
	 * room: under a steady load of new calls it would otherwise find no place before its
	 * deadline, and its answer would be cut.
	 */
	synchronized Permit readmit(String requiredWeights, long bytes, long timeoutMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		this.resumingCalls++;
		try {
			while (true) {
				try {
					return tryReadmit(requiredWeights, bytes);
				}
				catch (AdmissionRefusedException refusal) {
					long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
					if (leftMillis <= 0 || refusal.reason() == RefusalReason.WRONG_WEIGHTS) {
						throw refusal;
					}
					wait(leftMillis);
				}
			}
		}
		finally {
			this.resumingCalls--;
		}
	}

	private Permit tryReadmit(String requiredWeights, long bytes) {
		if (!(this.open || this.draining) || !this.earlierCallsEnded) {
			throw new AdmissionRefusedException(RefusalReason.NOT_READY, NOT_READY_RETRY_AFTER_MILLIS);
		}
		return acquirePermit(requiredWeights, bytes, 0);
	}

	private Permit acquirePermit(String requiredWeights, long bytes, int reservedPermits) {
		if (!requiredWeights.isEmpty() && !requiredWeights.equals(this.servedWeights)) {
			throw new AdmissionRefusedException(RefusalReason.WRONG_WEIGHTS, 0);
		}
		if (this.inFlight + this.orphaned + reservedPermits >= this.concurrencyLimit.limit()
				|| this.callsAwaitingHead >= this.concurrencyLimit.awaitingHeadLimit()) {
			throw this.concurrencyLimit.cold()
					? new AdmissionRefusedException(RefusalReason.COLD_FULL, COLD_RETRY_AFTER_MILLIS)
					: new AdmissionRefusedException(RefusalReason.FULL, FULL_RETRY_AFTER_MILLIS);
		}
		if (this.heldBytes + bytes > this.memoryLimitBytes) {
			throw new AdmissionRefusedException(RefusalReason.MEMORY_FULL, FULL_RETRY_AFTER_MILLIS);
		}
		this.inFlight++;
		this.callsAwaitingHead++;
		this.heldBytes += bytes;
		return new Permit(bytes, this.concurrencyLimit.epoch());
	}

	/**
	 * Takes fixed limits of an upstream that has no cold start and reports no state.
	 */
	synchronized void setFixedLimits(int maxConcurrency, long memoryBytes) {
		this.concurrencyLimit.setDeclaredLimits(maxConcurrency, maxConcurrency);
		this.concurrencyLimit.onReportedState(this.concurrencyLimit.epoch(), "plain", true);
		this.concurrencyLimit.onReportedState(this.concurrencyLimit.epoch(), "plain", true);
		this.memoryLimitBytes = memoryBytes;
		this.earlierCallsEnded = true;
	}

	/**
	 * Takes a status of the engine.
	 * @param requestEpoch epoch in which it was asked for
	 * @param orphanedAtRequest calls that lingered when it was asked for
	 * @param status the status
	 * @return whether the limit was reset
	 */
	synchronized boolean onEngineStatus(long requestEpoch, int orphanedAtRequest, EngineStatus status) {
		boolean sameInstance = status.instance().equals(this.concurrencyLimit.instance());
		this.concurrencyLimit.setDeclaredLimits(status.coldLimit(), status.maxConcurrency());
		this.memoryLimitBytes = status.memoryLimitBytes();
		this.servedWeights = status.weights();
		this.awaitingWeightsReport = false;
		// Before the first admission, calls of the engine are those of a predecessor.
		this.earlierCallsEnded |= status.inFlight() == 0;
		// Calls of the engine beyond the confirmed ones are taken for lingering ones.
		int possiblyOrphaned = sameInstance ? Math.max(0, status.inFlight() - (this.inFlight - this.callsAwaitingHead))
				: 0;
		this.orphaned -= Math.max(0, Math.min(this.orphaned, orphanedAtRequest) - possiblyOrphaned);
		boolean reset = this.concurrencyLimit.onReportedState(requestEpoch, status.instance(), !status.cold());
		notifyAll();
		return reset;
	}

	/**
	 * Takes an unanswered request for the engine's status.
	 */
	synchronized void onEngineStatusFailure(long requestEpoch) {
		this.concurrencyLimit.onConnectionLost(requestEpoch);
	}

	/**
	 * Admits calls again, at the cold limit of a cold engine.
	 */
	public synchronized void open() {
		this.awaitingWeightsReport |= !this.open;
		this.open = true;
		this.draining = false;
		notifyAll();
	}

	/**
	 * Refuses all new calls until {@link #open}. Calls admitted before may give up their
	 * place and come back, so that a planned load cuts none of them.
	 */
	public synchronized void drain() {
		this.open = false;
		this.draining = true;
	}

	/**
	 * Refuses all calls until {@link #open}.
	 */
	public synchronized void close() {
		this.open = false;
		this.draining = false;
	}

	/**
	 * Refuses all new calls for good. Running ones may still give up their place and come
	 * back.
	 */
	public synchronized void beginShutdown() {
		this.shuttingDown = true;
	}

	public synchronized boolean shuttingDown() {
		return this.shuttingDown;
	}

	public synchronized int inFlight() {
		return this.inFlight;
	}

	synchronized int resumingCalls() {
		return this.resumingCalls;
	}

	synchronized int orphaned() {
		return this.orphaned;
	}

	synchronized long epoch() {
		return this.concurrencyLimit.epoch();
	}

	/**
	 * Whether the last report of the engine since the opening names these weights.
	 */
	synchronized boolean reportsNoOtherWeights(String expectedWeights) {
		return this.awaitingWeightsReport || this.servedWeights.equals(expectedWeights);
	}

	synchronized String instance() {
		return this.concurrencyLimit.instance();
	}

	synchronized LoadReport load() {
		return new LoadReport(this.inFlight + this.orphaned, this.concurrencyLimit.limit(),
				this.concurrencyLimit.cold(), this.heldBytes, this.memoryLimitBytes,
				this.open && this.earlierCallsEnded && !this.shuttingDown, this.servedWeights);
	}

	/**
	 * Waits until no call runs.
	 * @param timeoutMillis longest wait
	 * @return whether no call runs
	 */
	public synchronized boolean awaitIdle(long timeoutMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (this.inFlight > 0) {
			long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
			if (leftMillis <= 0) {
				return false;
			}
			wait(leftMillis);
		}
		return true;
	}

	/**
	 * Place of one admitted call at the upstream. Released exactly once; later releases
	 * have no effect.
	 */
	final class Permit {

		private final long bytes;

		private final long epoch;

		private boolean awaitingHead = true;

		private boolean active = true;

		private Permit(long bytes, long epoch) {
			this.bytes = bytes;
			this.epoch = epoch;
		}

		/**
		 * Takes the head of the engine's reply.
		 * @return whether the limit was reset
		 */
		boolean onReplyHead(EngineReplyHeaders head) {
			synchronized (AdmissionController.this) {
				boolean reset = AdmissionController.this.concurrencyLimit.onReportedState(this.epoch, head.instance(),
						head.warm());
				AdmissionController.this.servedWeights = head.weights();
				AdmissionController.this.awaitingWeightsReport = false;
				markHeadReceived();
				return reset;
			}
		}

		boolean onTokenGap(long gapMillis) {
			synchronized (AdmissionController.this) {
				return AdmissionController.this.concurrencyLimit.onTokenGap(this.epoch, gapMillis);
			}
		}

		/**
		 * The upstream completed the call.
		 */
		void completed(double meanGapMillis) {
			synchronized (AdmissionController.this) {
				if (this.active) {
					AdmissionController.this.concurrencyLimit.onCompleted(this.epoch, meanGapMillis);
				}
				release();
			}
		}

		/**
		 * The upstream refused the call.
		 */
		void refused(long nowMillis) {
			synchronized (AdmissionController.this) {
				AdmissionController.this.concurrencyLimit.onRefused(nowMillis);
				release();
			}
		}

		/**
		 * The connection to the upstream broke.
		 */
		boolean onConnectionLost() {
			synchronized (AdmissionController.this) {
				boolean reset = AdmissionController.this.concurrencyLimit.onConnectionLost(this.epoch);
				releaseAsOrphaned();
				return reset;
			}
		}

		/**
		 * The agent closed the connection to an engine. The engine notices later, so the
		 * place stays taken until a status shows that it has.
		 */
		void releaseAsOrphaned() {
			synchronized (AdmissionController.this) {
				AdmissionController.this.orphaned += this.active ? 1 : 0;
				release();
			}
		}

		void release() {
			synchronized (AdmissionController.this) {
				if (this.active) {
					this.active = false;
					markHeadReceived();
					AdmissionController.this.inFlight--;
					AdmissionController.this.heldBytes -= this.bytes;
					AdmissionController.this.notifyAll();
				}
			}
		}

		private void markHeadReceived() {
			AdmissionController.this.callsAwaitingHead -= this.awaitingHead ? 1 : 0;
			this.awaitingHead = false;
		}

	}

}
