package org.jaywood.agent;

import java.util.concurrent.TimeUnit;

import org.jaywood.wire.LoadReport;
import org.jaywood.wire.RefusalReason;

/**
 * Decides which calls the upstream of this agent receives. A call is sent to the upstream
 * only with a {@link Permit}, which is released exactly once. Permits bound the number of
 * calls and the bytes that they hold at the upstream. There is no queue: a call for which
 * there is no free capacity is refused at once, so that its router can place it on
 * another upstream.
 */
public final class AdmissionController {

	private static final long FULL_RETRY_AFTER_MILLIS = 100;

	private static final long COLD_RETRY_AFTER_MILLIS = 500;

	private static final long NOT_READY_RETRY_AFTER_MILLIS = 1_000;

	private final AdaptiveConcurrencyLimit concurrencyLimit = new AdaptiveConcurrencyLimit();

	private boolean open;

	private boolean draining;

	private boolean shuttingDown;

	/** Calls that released their permit and wait for another one. */
	private int resumingCalls;

	private boolean earlierCallsEnded;

	private int inFlight;

	private int callsAwaitingHead;

	private int orphanedCalls;

	private long heldBytes;

	private long memoryLimitBytes = Long.MAX_VALUE;

	private String servedWeights = "";

	// True between open() and the next report of the engine, which the reconciler has
	// just checked.
	private boolean awaitingWeightsReport;

	/**
	 * Admits a call or refuses it.
	 * @param requiredWeights digest of the weights that must serve it, empty for any
	 * @param bytes memory that its first segment may hold at the upstream
	 * @param maxBytes memory that the whole call may hold at the upstream
	 * @throws AdmissionRefusedException with the reason
	 */
	synchronized Permit admit(String requiredWeights, long bytes, long maxBytes) {
		if (this.shuttingDown) {
			throw new AdmissionRefusedException(RefusalReason.DRAINING, 0);
		}
		if (!this.open || !this.earlierCallsEnded) {
			throw new AdmissionRefusedException(RefusalReason.NOT_READY, NOT_READY_RETRY_AFTER_MILLIS);
		}
		// The call would fail later, when its own tokens fill the upstream's memory.
		if (maxBytes > this.memoryLimitBytes) {
			throw new AdmissionRefusedException(RefusalReason.MEMORY_FULL, FULL_RETRY_AFTER_MILLIS);
		}
		return acquirePermit(requiredWeights, bytes, this.resumingCalls);
	}

	/**
	 * Admits a call again that released its permit to wait for credit. Unlike a new call
	 * it is admitted during a shutdown or while draining, and new calls leave a permit
	 * for it: under a steady load of new calls it would otherwise get none before its
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
		if (this.inFlight + this.orphanedCalls + reservedPermits >= this.concurrencyLimit.limit()
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
	 * Sets the limits of an upstream that has no cold start and reports no state.
	 */
	synchronized void setFixedLimits(int maxConcurrency, long memoryBytes) {
		this.concurrencyLimit.setDeclaredLimits(maxConcurrency, maxConcurrency);
		this.concurrencyLimit.onReportedState(this.concurrencyLimit.epoch(), "plain", true);
		this.concurrencyLimit.onReportedState(this.concurrencyLimit.epoch(), "plain", true);
		this.memoryLimitBytes = memoryBytes;
		this.earlierCallsEnded = true;
	}

	/**
	 * Applies a status of the engine.
	 * @param requestEpoch epoch in which it was requested
	 * @param orphanedAtRequest number of orphaned calls when it was requested
	 * @param status the status
	 * @return whether the concurrency limit was reset
	 */
	synchronized boolean onEngineStatus(long requestEpoch, int orphanedAtRequest, EngineStatus status) {
		boolean sameInstance = status.instance().equals(this.concurrencyLimit.instance());
		this.concurrencyLimit.setDeclaredLimits(status.coldLimit(), status.maxConcurrency());
		this.memoryLimitBytes = status.memoryLimitBytes();
		this.servedWeights = status.weights();
		this.awaitingWeightsReport = false;
		// Before the first admission, the engine runs only calls of an earlier agent.
		this.earlierCallsEnded |= status.inFlight() == 0;
		// Calls of the engine beyond those whose head was read may be orphaned ones.
		int possiblyOrphaned = sameInstance ? Math.max(0, status.inFlight() - (this.inFlight - this.callsAwaitingHead))
				: 0;
		this.orphanedCalls -= Math.max(0, Math.min(this.orphanedCalls, orphanedAtRequest) - possiblyOrphaned);
		boolean reset = this.concurrencyLimit.onReportedState(requestEpoch, status.instance(), !status.cold());
		notifyAll();
		return reset;
	}

	/**
	 * Applies a status request that the engine did not answer.
	 */
	synchronized void onEngineStatusFailure(long requestEpoch) {
		this.concurrencyLimit.onConnectionLost(requestEpoch);
	}

	/**
	 * Admits calls again. A cold engine starts at its cold limit.
	 */
	public synchronized void open() {
		this.awaitingWeightsReport |= !this.open;
		this.open = true;
		this.draining = false;
		notifyAll();
	}

	/**
	 * Refuses all new calls until {@link #open}. Calls admitted before may still release
	 * their permit and be readmitted, so that a planned load cuts none of them.
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
	 * Refuses all new calls until the process ends. Calls admitted before may still
	 * release their permit and be readmitted.
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

	synchronized int orphanedCalls() {
		return this.orphanedCalls;
	}

	synchronized long epoch() {
		return this.concurrencyLimit.epoch();
	}

	/**
	 * Whether the engine has not reported other weights than these since {@link #open}.
	 */
	synchronized boolean reportsNoOtherWeights(String expectedWeights) {
		return this.awaitingWeightsReport || this.servedWeights.equals(expectedWeights);
	}

	synchronized String instance() {
		return this.concurrencyLimit.instance();
	}

	synchronized LoadReport load() {
		return new LoadReport(this.inFlight + this.orphanedCalls, this.concurrencyLimit.limit(),
				this.concurrencyLimit.cold(), this.heldBytes, this.memoryLimitBytes,
				this.open && this.earlierCallsEnded && !this.shuttingDown, this.servedWeights);
	}

	/**
	 * Waits until no permit is in use.
	 * @param timeoutMillis longest wait
	 * @return whether no permit is in use
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
	 * Right of one admitted call to use the upstream. The first release takes effect;
	 * later ones are ignored.
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
		 * Applies the head of the engine's response.
		 * @return whether the concurrency limit was reset
		 */
		boolean onResponseHead(EngineResponseHeaders head) {
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
		 * Releases the permit of a call that the upstream completed.
		 * @param meanGapMillis mean time between its tokens
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
		 * Releases the permit of a call that the upstream refused.
		 */
		void refused(long nowMillis) {
			synchronized (AdmissionController.this) {
				AdmissionController.this.concurrencyLimit.onRefused(nowMillis);
				release();
			}
		}

		/**
		 * Releases the permit of a call whose connection to the upstream broke.
		 * @return whether the concurrency limit was reset
		 */
		boolean onConnectionLost() {
			synchronized (AdmissionController.this) {
				boolean reset = AdmissionController.this.concurrencyLimit.onConnectionLost(this.epoch);
				releaseAsOrphaned();
				return reset;
			}
		}

		/**
		 * Releases the permit of a call whose connection the agent closed or lost. The
		 * engine notices this later, so the call counts as orphaned until a status shows
		 * that the engine has ended it.
		 */
		void releaseAsOrphaned() {
			synchronized (AdmissionController.this) {
				AdmissionController.this.orphanedCalls += this.active ? 1 : 0;
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
