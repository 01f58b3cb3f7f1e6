package org.jaywood.gateway;

import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.CallRequirements;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.Placement;
import org.jaywood.routing.PlacementRefusal;
import org.jaywood.routing.QueuedCall;

/**
 * Whether one call waits for a placement, for how long, and why it got none. A call that
 * cannot be placed in time is refused when it arrives, or as soon as that is known.
 * Confined to the task of the call.
 */
final class QueueWait {

	/** Longest time for which a retry waits in the queue. */
	private static final long MAX_RETRY_WAIT_MILLIS = 400;

	private final Dispatcher dispatcher;

	private final Call call;

	private final Cancellation cancellation;

	private PlacementRefusal refusal = PlacementRefusal.NO_PLACE;

	QueueWait(Dispatcher dispatcher, Call call, Cancellation cancellation) {
		this.dispatcher = dispatcher;
		this.call = call;
		this.cancellation = cancellation;
	}

	/**
	 * Returns why the last wait ended without a placement.
	 */
	String refusalReason() {
		return this.refusal.reason();
	}

	/**
	 * Waits for a placement.
	 * @param retry whether the call has been sent before
	 * @return the placement, or null if there is none in time or the caller is gone
	 */
	@Nullable Placement await(CallRequirements requirements, boolean retry, long nowMillis) {
		this.refusal = PlacementRefusal.NO_PLACE;
		long waitMillis = (retry ? Math.min(this.call.deadlineMillis(), nowMillis + MAX_RETRY_WAIT_MILLIS)
				: QueueDeadline.queueDeadlineMillis(this.call, nowMillis)) - nowMillis;
		Optional<PlacementRefusal> refusedAtOnce = this.dispatcher.refusal(requirements, waitMillis, nowMillis);
		if (refusedAtOnce.isPresent()) {
			this.refusal = refusedAtOnce.get();
			return null;
		}
		Optional<QueuedCall> queuedCall = retry ? Optional.of(this.dispatcher.enqueue(requirements, nowMillis))
				: this.dispatcher.offer(requirements, waitMillis, nowMillis);
		if (queuedCall.isEmpty()) {
			this.refusal = PlacementRefusal.QUEUE_FULL;
			return null;
		}
		return await(queuedCall.get(), waitMillis);
	}

	private @Nullable Placement await(QueuedCall queuedCall, long waitMillis) {
		this.cancellation.attach(queuedCall.placement());
		try {
			return queuedCall.placement().get(Math.max(0, waitMillis), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | CancellationException ex) {
			return end(queuedCall);
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return end(queuedCall);
		}
		finally {
			this.cancellation.detachQueueWait();
		}
	}

	/**
	 * Ends the wait of a call.
	 * @return its placement, or null if it was not placed
	 */
	@Nullable Placement end(QueuedCall queuedCall) {
		if (this.dispatcher.dequeue(queuedCall) || queuedCall.placement().isCancelled()) {
			this.refusal = queuedCall.refused() ? PlacementRefusal.QUEUE_FULL : this.refusal;
			return null;
		}
		return queuedCall.placement().join();
	}

}
