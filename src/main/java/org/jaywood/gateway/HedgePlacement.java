package org.jaywood.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.HedgeDelay;
import org.jaywood.routing.Placement;
import org.jaywood.routing.QueuedCall;
import org.jaywood.routing.RetryPolicy;

/**
 * Decides when the call of a silent attempt gets a hedged one, and finds the upstream for
 * it. Silence of the attempt alone gets it free capacity, if there is some. Silence of
 * the whole VM, reports of its agent included, lets it wait ahead of calls that were
 * never placed, and after a while it shows that the attempt is not worth waiting for.
 * Confined to the task of the call.
 */
final class HedgePlacement {

	/** Silence of an attempt from which its upstream is checked. */
	private static final long FIRST_CHECK_MILLIS = 300;

	private static final long CHECK_INTERVAL_MILLIS = 150;

	/** Interval at which the place of a call in the queue is checked. */
	private static final long QUEUE_CHECK_INTERVAL_MILLIS = 50;

	private final Dispatcher dispatcher;

	private final Call call;

	private final CallerResponse response;

	private final CallAttempts attempts;

	private @Nullable QueuedCall queuedCall;

	private long silentSinceMillis;

	private long nextCheckMillis = Long.MAX_VALUE;

	HedgePlacement(GatewayContext context, Call call, CallerResponse response, CallAttempts attempts) {
		this.dispatcher = context.dispatcher();
		this.call = call;
		this.response = response;
		this.attempts = attempts;
	}

	/**
	 * Restarts the delay, since the attempt with the call has made progress.
	 */
	void restart(long nowMillis) {
		leaveQueue(nowMillis);
		this.silentSinceMillis = nowMillis;
		this.nextCheckMillis = hedgeable() ? nowMillis + FIRST_CHECK_MILLIS : Long.MAX_VALUE;
	}

	/**
	 * Gives up the place in the queue, if there is one.
	 */
	void leaveQueue(long nowMillis) {
		QueuedCall queued = this.queuedCall;
		if (queued != null) {
			this.queuedCall = null;
			this.attempts.dequeueHedge(queued, nowMillis);
		}
	}

	/**
	 * Returns the time in milliseconds until the next check.
	 */
	long checkInMillis(long nowMillis) {
		return (this.nextCheckMillis != Long.MAX_VALUE) ? Math.max(1, this.nextCheckMillis - nowMillis)
				: Long.MAX_VALUE;
	}

	/**
	 * Returns the placement of a hedged attempt, if one is due and has an upstream.
	 * @param silent placement of the attempt that has the call
	 */
	Optional<Placement> poll(Placement silent, long nowMillis) {
		if (nowMillis < this.nextCheckMillis) {
			return Optional.empty();
		}
		boolean vmSilent = this.dispatcher.isVmSilent(silent, nowMillis);
		if (vmSilent && this.queuedCall == null) {
			this.queuedCall = this.attempts.queueHedge(silent, nowMillis);
		}
		else if (!vmSilent) {
			leaveQueue(nowMillis);
		}
		QueuedCall queued = this.queuedCall;
		if (queued != null) {
			this.nextCheckMillis = nowMillis + QUEUE_CHECK_INTERVAL_MILLIS;
			return takePlacement(queued, nowMillis);
		}
		long dueMillis = hedgeDueMillis(this.dispatcher.isQuiet(silent, nowMillis));
		if (nowMillis < dueMillis) {
			this.nextCheckMillis = Math.min(dueMillis, nowMillis + CHECK_INTERVAL_MILLIS);
			return Optional.empty();
		}
		this.nextCheckMillis = nowMillis + CHECK_INTERVAL_MILLIS;
		return this.attempts.placeHedge(silent, nowMillis);
	}

	private Optional<Placement> takePlacement(QueuedCall queued, long nowMillis) {
		if (!queued.placement().isDone()) {
			return Optional.empty();
		}
		this.queuedCall = null;
		return this.attempts.takeHedge(queued, nowMillis);
	}

	/**
	 * Whether nothing has come from the VM of an attempt for so long that its caller is
	 * served better by an answer without the result than by waiting on.
	 */
	boolean hopeless(Placement silent, long nowMillis) {
		return hedgeable()
				&& nowMillis - this.silentSinceMillis >= HedgeDelay.giveUpMillis(this.call.route().policy(),
						this.call.remainingMillis(this.silentSinceMillis))
				&& this.dispatcher.isVmSilent(silent, nowMillis);
	}

	private boolean hedgeable() {
		return hedgeDueMillis(true) != Long.MAX_VALUE;
	}

	/**
	 * Returns the time from which a hedged attempt may start on free capacity.
	 * @param quiet whether all attempts at the upstream have gone quiet
	 */
	private long hedgeDueMillis(boolean quiet) {
		RetryPolicy policy = this.call.route().policy();
		OptionalLong delayMillis = this.response.committed() ? HedgeDelay.withinAnswerMillis(policy)
				: HedgeDelay.beforeAnswerMillis(policy, quiet, this.call.remainingMillis(this.silentSinceMillis),
						this.call.onTimeUntilMillis() - this.silentSinceMillis);
		return delayMillis.isPresent() ? this.silentSinceMillis + delayMillis.getAsLong() : Long.MAX_VALUE;
	}

}
