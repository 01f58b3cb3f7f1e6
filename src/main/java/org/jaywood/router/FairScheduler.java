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
 * Shares short capacity between workspaces. Calls that find all upstreams of their
 * service busy wait in a bounded queue; one of them gets its turn whenever a call of the
 * service ends and at each probe. While calls wait, new ones queue behind them.
 */
final class FairScheduler {

	/** Workspaces that the deployment does not declare share one place in the queue. */
	private static final String UNDECLARED = "";

	private final int limit;

	private final LongSupplier clock;

	private final Map<String, Service> services = new ConcurrentHashMap<>();

	private final AtomicLong sequence = new AtomicLong();

	private volatile Runnable waitListener = () -> {
	};

	/**
	 * Creates an empty queue for each service.
	 * @param limit calls of a service that may wait
	 * @param clock present time in milliseconds
	 */
	FairScheduler(int limit, LongSupplier clock) {
		this.limit = limit;
		this.clock = clock;
	}

	/**
	 * Sets what is called after each call that begins to wait.
	 */
	void onWait(Runnable listener) {
		this.waitListener = listener;
	}

	/**
	 * Registers a call. It may run at once if no other call of its service waits.
	 */
	Permit open(Call call, Deployment deployment) {
		WorkspaceSpec spec = deployment.workspaces().get(call.workspace());
		QueuedCall waiter = new QueuedCall((spec != null) ? call.workspace() : UNDECLARED,
				(spec != null) ? Math.max(1, spec.share()) : 1, call.priority(), this.sequence.incrementAndGet());
		Service service = this.services.computeIfAbsent(call.service(),
				(key) -> new Service(new FairQueue(this.limit), new CompletionRate()));
		synchronized (service) {
			if (service.queue.waiting() == 0) {
				service.queue.start(waiter, this.clock.getAsLong());
			}
		}
		return new Permit(service, waiter);
	}

	/**
	 * Gives one call of each service its turn. Room that no ended call of this router
	 * announced, such as a restarted upstream, is found in this way.
	 */
	void probe() {
		this.services.values().forEach((service) -> {
			synchronized (service) {
				service.queue.next(this.clock.getAsLong(), true);
			}
		});
	}

	int waiting() {
		return this.services.values().stream().mapToInt((service) -> {
			synchronized (service) {
				return service.queue.waiting();
			}
		}).sum();
	}

	/**
	 * Queue and rate of one service; the record is the lock of both.
	 */
	private record Service(FairQueue queue, CompletionRate rate) {

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
	 * Place of one call.
	 */
	final class Permit implements AutoCloseable {

		private final Service service;

		private final QueuedCall waiter;

		private boolean admitted;

		private Permit(Service service, QueuedCall waiter) {
			this.service = service;
			this.waiter = waiter;
		}

		boolean running() {
			synchronized (this.service) {
				return this.waiter.running();
			}
		}

		/**
		 * Notes that an upstream took the call.
		 */
		void admitted() {
			synchronized (this.service) {
				this.admitted = true;
				if (this.waiter.probing()) {
					// A probe that found room may have found more.
					this.service.queue.next(FairScheduler.this.clock.getAsLong(), true);
				}
			}
		}

		/**
		 * Waits for the next turn of the call.
		 * @param untilMillis end of the wait
		 * @return whether the call has its turn; otherwise the queue is full or the time
		 * has run out
		 */
		boolean await(long untilMillis) throws InterruptedException {
			CompletableFuture<Boolean> turn;
			synchronized (this.service) {
				if (this.waiter.running()) {
					this.service.queue.undo(this.waiter);
				}
				turn = this.waiter.stop();
				Optional<QueuedCall> displaced = this.service.queue.add(this.waiter);
				displaced.ifPresent(QueuedCall::reject);
			}
			FairScheduler.this.waitListener.run();
			try {
				return turn.get(Math.max(0, untilMillis - FairScheduler.this.clock.getAsLong()), TimeUnit.MILLISECONDS);
			}
			catch (TimeoutException ex) {
				synchronized (this.service) {
					this.service.queue.remove(this.waiter);
					return this.waiter.running();
				}
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException(ex);
			}
		}

		/**
		 * Time after which a refused call may find room.
		 */
		long retryAfterMillis() {
			synchronized (this.service) {
				return this.service.rate.retryAfterMillis(this.service.queue.waiting() + 1,
						FairScheduler.this.clock.getAsLong());
			}
		}

		@Override
		public void close() {
			long nowMillis = FairScheduler.this.clock.getAsLong();
			synchronized (this.service) {
				this.service.queue.remove(this.waiter);
				if (!this.waiter.running()) {
					return;
				}
				this.service.queue.end(this.waiter, this.admitted, nowMillis);
				if (this.admitted) {
					this.service.rate.recordEnd(nowMillis);
				}
				this.service.queue.next(nowMillis, false);
			}
		}

	}

}
