package org.jaywood.routing;

import java.util.List;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Queue of a service whose calls all have one priority: the order is that of
 * {@link QueuedCall#ORDER}. Designed for overload: a call that is unlikely to be placed
 * within the time that it can wait need not be queued. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class ArrivalQueue implements ServiceQueue {

	/**
	 * Calls that may always be queued, whatever the forecast says, so that freed capacity
	 * is used.
	 */
	private static final int MIN_QUEUE_CALLS = 4;

	/**
	 * Largest forecast wait of a call, as a share of the time that it can wait, since
	 * forecasts are inexact.
	 */
	private static final double MAX_FORECAST_SHARE = 0.8;

	private final TreeSet<QueuedCall> queue = new TreeSet<>(QueuedCall.ORDER);

	private final QueueWaitEstimator waitEstimator = new QueueWaitEstimator();

	private final RetryTime retryTime = new RetryTime();

	@Override
	public void add(QueuedCall queuedCall) {
		this.queue.add(queuedCall);
	}

	@Override
	public boolean remove(QueuedCall queuedCall) {
		return this.queue.remove(queuedCall);
	}

	@Override
	public int size() {
		return this.queue.size();
	}

	@Override
	public List<QueuedCall> calls() {
		return List.copyOf(this.queue);
	}

	@Override
	public int countAhead(QueuedCall latest) {
		return this.queue.headSet(latest).size();
	}

	@Override
	public Stream<QueuedCall> callsBefore(QueuedCall latest) {
		return this.queue.headSet(latest).stream();
	}

	@Override
	public Pass pass() {
		return new Pass() {

			private @Nullable QueuedCall last;

			@Override
			public @Nullable QueuedCall next() {
				QueuedCall previous = this.last;
				this.last = (previous != null) ? ArrivalQueue.this.queue.higher(previous)
						: ArrivalQueue.this.queue.stream().findFirst().orElse(null);
				return this.last;
			}

			@Override
			public void skip(QueuedCall queuedCall) {
				// next() has moved on.
			}

		};
	}

	@Override
	public void onArrival(CallRequirements requirements, long nowMillis) {
		// The order does not depend on demand.
	}

	@Override
	public void onPlaced(QueuedCall queuedCall, long nowMillis) {
		remove(queuedCall);
		this.waitEstimator.recordPlaced(nowMillis);
	}

	@Override
	public void onBegin() {
		// The order does not depend on the calls that run.
	}

	@Override
	public void onEnd(Placement placement, Outcome outcome, long nowMillis) {
		this.retryTime.onEnd(outcome, nowMillis);
	}

	@Override
	public boolean isWaitFeasible(QueuedCall latest, long waitMillis, long nowMillis) {
		return this.queue.size() < MIN_QUEUE_CALLS
				|| this.waitEstimator.waitMillis(countAhead(latest), nowMillis) <= MAX_FORECAST_SHARE * waitMillis;
	}

	@Override
	public boolean previewWaitFeasible(QueuedCall latest, long waitMillis, long nowMillis) {
		return isWaitFeasible(latest, waitMillis, nowMillis);
	}

	@Override
	public List<QueuedCall> overdue(long nowMillis) {
		return List.of();
	}

	@Override
	public long retryAfterMillis(CallRequirements requirements, BooleanSupplier served, long leftMillis,
			long nowMillis) {
		return this.retryTime.millis(requirements, this.queue.size(), nowMillis);
	}

	@Override
	public long previewRetryAfterMillis(CallRequirements requirements, boolean served, long leftMillis, boolean arrived,
			long nowMillis) {
		return retryAfterMillis(requirements, () -> served, leftMillis, nowMillis);
	}

	@Override
	public double heldBackSlots(CallRequirements requirements, long nowMillis) {
		return 0;
	}

	@Override
	public String describe(long nowMillis) {
		return "";
	}

}
