package org.jaywood.router;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.jaywood.config.Deployment;
import org.jaywood.config.WorkspaceSpec;
import org.jaywood.routing.CompletionRate;

/**
 * Divides scarce capacity between workspaces. Calls whose upstreams are all full wait in
 * a bounded queue per service; one of them gets a permit whenever a call of the service
 * ends and at each probe. While calls are queued, new ones are queued too.
 */
final class FairScheduler {

	/**
	 * All workspaces that the deployment does not declare are queued as one workspace.
	 */
	private static final String UNDECLARED_WORKSPACE = "";

	private final int maxQueuedCalls;

	private final LongSupplier clock;

	private final Map<String, ServiceQueue> serviceQueues = new ConcurrentHashMap<>();

	private final AtomicLong lastSequence = new AtomicLong();

	private volatile Runnable queueListener = () -> {
	};

	/**
	 * Creates an empty queue for each service.
	 * @param maxQueuedCalls largest number of queued calls of a service
	 * @param clock present time in milliseconds
	 */
	FairScheduler(int maxQueuedCalls, LongSupplier clock) {
		this.maxQueuedCalls = maxQueuedCalls;
		this.clock = clock;
	}

	/**
	 * Sets the listener that runs after each call that is queued.
	 */
	void setQueueListener(Runnable listener) {
		this.queueListener = listener;
	}

	/**
	 * Registers a call. Its permit is granted at once if no call of its service is
	 * queued.
	 */
	Permit register(Call call, Deployment deployment) {
		WorkspaceSpec workspaceSpec = deployment.workspaces().get(call.workspace());
		QueuedCall queuedCall = new QueuedCall((workspaceSpec != null) ? call.workspace() : UNDECLARED_WORKSPACE,
				(workspaceSpec != null) ? Math.max(1, workspaceSpec.share()) : 1, call.priority(),
				this.lastSequence.incrementAndGet());
		ServiceQueue service = this.serviceQueues.computeIfAbsent(call.service(),
				(key) -> new ServiceQueue(new FairQueue(this.maxQueuedCalls), new CompletionRate()));
		synchronized (service) {
			if (service.queue.queuedCalls() == 0) {
				service.queue.grantPermit(queuedCall, this.clock.getAsLong());
			}
		}
		return new Permit(service, queuedCall);
	}

	/**
	 * Grants a permit to one queued call of each service. This finds capacity that no
	 * ended call of this router indicates, such as a restarted upstream.
	 */
	void probe() {
		this.serviceQueues.values().forEach((service) -> {
			synchronized (service) {
				service.queue.grantNext(this.clock.getAsLong(), true);
			}
		});
	}

	int queuedCalls() {
		return this.serviceQueues.values().stream().mapToInt((service) -> {
			synchronized (service) {
				return service.queue.queuedCalls();
			}
		}).sum();
	}

	/**
	 * Queue and completion rate of one service; the record is the lock of both.
	 */
	private record ServiceQueue(FairQueue queue, CompletionRate rate) {

		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this);
		}

	}

	/**
	 * Right of one call to be sent. It may be granted and revoked several times until the
	 * call ends.
	 */
	final class Permit implements AutoCloseable {

		private final ServiceQueue service;

		private final QueuedCall queuedCall;

		private boolean admitted;

		private Permit(ServiceQueue service, QueuedCall queuedCall) {
			this.service = service;
			this.queuedCall = queuedCall;
		}

		boolean isGranted() {
			synchronized (this.service) {
				return this.queuedCall.hasPermit();
			}
		}

		/**
		 * Records that an upstream admitted the call.
		 */
		void markAdmitted() {
			synchronized (this.service) {
				this.admitted = true;
				if (this.queuedCall.grantedByProbe()) {
					// A probe that found capacity may have found more of it.
					this.service.queue.grantNext(FairScheduler.this.clock.getAsLong(), true);
				}
			}
		}

		/**
		 * Gives up the permit, if granted, and waits until it is granted again.
		 * @param queueDeadlineMillis when the wait ends
		 * @return whether the permit is granted; otherwise the call was displaced from a
		 * full queue or the deadline has passed
		 */
		boolean await(long queueDeadlineMillis) throws InterruptedException {
			CompletableFuture<Boolean> decision;
			synchronized (this.service) {
				if (this.queuedCall.hasPermit()) {
					this.service.queue.revokePermit(this.queuedCall);
				}
				decision = this.queuedCall.resetPermit();
				Optional<QueuedCall> displaced = this.service.queue.add(this.queuedCall);
				displaced.ifPresent(QueuedCall::reject);
			}
			FairScheduler.this.queueListener.run();
			try {
				return decision.get(Math.max(0, queueDeadlineMillis - FairScheduler.this.clock.getAsLong()),
						TimeUnit.MILLISECONDS);
			}
			catch (TimeoutException ex) {
				synchronized (this.service) {
					this.service.queue.remove(this.queuedCall);
					return this.queuedCall.hasPermit();
				}
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException(ex);
			}
		}

		/**
		 * Returns the time after which a refused call may find capacity.
		 */
		long retryAfterMillis() {
			synchronized (this.service) {
				return this.service.rate.retryAfterMillis(this.service.queue.queuedCalls() + 1,
						FairScheduler.this.clock.getAsLong());
			}
		}

		@Override
		public void close() {
			long nowMillis = FairScheduler.this.clock.getAsLong();
			synchronized (this.service) {
				this.service.queue.remove(this.queuedCall);
				if (!this.queuedCall.hasPermit()) {
					return;
				}
				this.service.queue.end(this.queuedCall, this.admitted, nowMillis);
				if (this.admitted) {
					this.service.rate.recordCompletion(nowMillis);
				}
				this.service.queue.grantNext(nowMillis, false);
			}
		}

	}

}
