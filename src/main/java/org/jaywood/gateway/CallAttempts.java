package org.jaywood.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.CallRequirements;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.Placement;
import org.jaywood.routing.QueuedCall;
import org.jaywood.routing.RetryPolicy;

/**
 * The attempts of one call: where the next one may go, what became of those that ended,
 * and whether the call may have run. Used by the task of the call.
 */
final class CallAttempts {

	/** Wait of a repeated call for a place. */
	private static final long REPEAT_WAIT_MILLIS = 400;

	/** Upstreams that one call asks at the most, those that did not run it included. */
	private static final int MAX_TRIED = 6;

	/** Reason of a refusal after a wait, or while no upstream can run the call. */
	private static final String NO_PLACE = "no-place";

	/** Reason of a refusal without a wait. */
	private static final String QUEUE_FULL = "queue-full";

	private final GatewayContext context;

	private final Call call;

	private final CallerReply reply;

	private final Cancellation cancellation;

	private final Set<String> tried = new HashSet<>();

	/** Upstreams whose attempt took a retry from the budget. */
	private final Set<String> retried = new HashSet<>();

	private int sends;

	private boolean mayHaveRun;

	/** Whether the call has arrived at an upstream, which may have refused it. */
	private boolean arrived;

	private String noPlaceReason = NO_PLACE;

	private @Nullable BufferedAnswer failedAnswer;

	private String answeredBy = "";

	private OptionalLong streamWeights = OptionalLong.empty();

	CallAttempts(GatewayContext context, Call call, CallerReply reply, Cancellation cancellation) {
		this.context = context;
		this.call = call;
		this.reply = reply;
		this.cancellation = cancellation;
	}

	/**
	 * Sends so far that may have run the call or taken one of its attempts.
	 */
	int sends() {
		return this.sends;
	}

	/**
	 * Whether an upstream may have run the call.
	 */
	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * The last answer of an upstream that failed, or null if none did.
	 */
	@Nullable BufferedAnswer failedAnswer() {
		return this.failedAnswer;
	}

	/**
	 * Id of the upstream whose answer the caller has, or empty.
	 */
	String answeredBy() {
		return this.answeredBy;
	}

	/**
	 * Why {@link #awaitPlace} found no place.
	 */
	String noPlaceReason() {
		return this.noPlaceReason;
	}

	/**
	 * Waits for a place.
	 * @return the place, or null if there is none in time or the caller has left
	 */
	@Nullable Placement awaitPlace(long nowMillis) {
		CallRequirements demand = demand();
		Dispatcher dispatcher = this.context.dispatcher();
		if (!dispatcher.hasEligibleUpstream(demand, nowMillis)) {
			return null;
		}
		long untilMillis = (this.sends == 0) ? WaitLimit.untilMillis(this.call, nowMillis)
				: Math.min(this.call.endMillis(), nowMillis + REPEAT_WAIT_MILLIS);
		if (this.sends == 0 && !dispatcher.isWaitFeasible(demand, untilMillis - nowMillis, nowMillis)) {
			this.noPlaceReason = QUEUE_FULL;
			return null;
		}
		return await(dispatcher.enqueue(demand, nowMillis), untilMillis - nowMillis);
	}

	private @Nullable Placement await(QueuedCall ticket, long waitMillis) {
		this.cancellation.attach(ticket.placement());
		try {
			return ticket.placement().get(Math.max(0, waitMillis), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | CancellationException ex) {
			return placedMeanwhile(ticket);
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return placedMeanwhile(ticket);
		}
		finally {
			this.cancellation.detachWait();
		}
	}

	private @Nullable Placement placedMeanwhile(QueuedCall ticket) {
		if (this.context.dispatcher().dequeue(ticket) || ticket.placement().isCancelled()) {
			return null;
		}
		return ticket.placement().join();
	}

	/**
	 * Begins an attempt at a place.
	 * @return whether it may be made; otherwise the retry budget is used up and the place
	 * has been given back
	 */
	boolean begin(Placement placement, long nowMillis) {
		this.context.metrics().waited(placement.waitedMillis());
		if (this.arrived && !takeRetry(placement, nowMillis)) {
			return false;
		}
		logPlaced(placement, this.sends + 1);
		return true;
	}

	/**
	 * Takes a place beside a silent upstream, if another attempt is allowed and gets one
	 * at once.
	 */
	Optional<Placement> placeBeside(Placement silent, long nowMillis) {
		this.tried.add(silent.upstream().id());
		noteStreamWeights(silent);
		if (this.sends + 1 >= this.call.route().maxAttempts() || this.tried.size() > MAX_TRIED) {
			return Optional.empty();
		}
		Optional<Placement> place = this.context.dispatcher()
			.placeImmediately(demand(), nowMillis)
			.filter((found) -> takeRetry(found, nowMillis));
		place.ifPresent((found) -> logPlaced(found, this.sends + 2));
		return place;
	}

	private boolean takeRetry(Placement placement, long nowMillis) {
		if (this.context.budget(this.call.service()).tryAcquire(nowMillis)) {
			this.retried.add(placement.upstream().id());
			return true;
		}
		this.context.dispatcher().end(placement, Outcome.CANCELLED, nowMillis);
		return false;
	}

	/**
	 * The only version of the weights that may run the next attempt, if that matters.
	 */
	OptionalLong weights(long nowMillis) {
		return this.streamWeights.isPresent() ? this.streamWeights
				: this.context.dispatcher().requiredVersion(this.call.service(), nowMillis);
	}

	/**
	 * Notes how an attempt ended and gives its place back.
	 */
	void ended(Placement placement, HandOverResult result) {
		String upstream = placement.upstream().id();
		this.context.dispatcher().end(placement, outcome(result), BootClock.nowMillis());
		this.tried.add(upstream);
		switch (result) {
			case HandOverResult.Delivered delivered -> this.answeredBy = upstream;
			case HandOverResult.CallerGone gone -> {
			}
			case HandOverResult.NotRun notRun -> {
				this.sends += (notRun.sent() && notRun.outcome() != Outcome.MISDIRECTED) ? 1 : 0;
				this.arrived |= notRun.sent();
				if (!notRun.sent() && this.retried.remove(upstream)) {
					this.context.budget(this.call.service()).refund();
				}
				logBroken(upstream, notRun.reason());
			}
			case HandOverResult.Failed failed -> {
				this.failedAnswer = failed.answer();
				noteRun(upstream, "status " + failed.answer().head().getCode());
			}
			case HandOverResult.Broken broken -> {
				noteStreamWeights(placement);
				noteRun(upstream, broken.reason());
			}
			case HandOverResult.Superseded superseded -> noteRun(upstream, "another upstream answered");
		}
	}

	private void noteRun(String upstream, String reason) {
		this.sends++;
		this.arrived = true;
		this.mayHaveRun = true;
		logBroken(upstream, reason);
	}

	private static Outcome outcome(HandOverResult result) {
		return switch (result) {
			case HandOverResult.Delivered delivered -> Outcome.ANSWERED;
			case HandOverResult.Failed failed -> Outcome.FAILED;
			case HandOverResult.NotRun notRun -> notRun.outcome();
			case HandOverResult.Broken broken -> broken.outcome();
			case HandOverResult.CallerGone gone -> Outcome.CANCELLED;
			case HandOverResult.Superseded superseded -> Outcome.CANCELLED;
		};
	}

	private void noteStreamWeights(Placement placement) {
		if (this.reply.begun()) {
			this.streamWeights = placement.upstream()
				.loaded()
				.map((weights) -> OptionalLong.of(weights.version()))
				.orElse(OptionalLong.empty());
		}
	}

	/**
	 * Why the call may not be sent again, or null if it may.
	 */
	@Nullable String obstacleToRepeat(long nowMillis) {
		RetryPolicy policy = this.call.route().policy();
		if (this.mayHaveRun && !policy.retryable()) {
			return "not-repeatable";
		}
		if (this.reply.begun() && policy != RetryPolicy.RESUMABLE_STREAM) {
			return "not-resumable";
		}
		if (this.call.remainingMillis(nowMillis) <= 0) {
			return "timeout";
		}
		if (this.sends >= this.call.route().maxAttempts()) {
			return "attempts";
		}
		return (this.tried.size() > MAX_TRIED) ? "tries" : null;
	}

	/**
	 * What the next attempt needs of an upstream.
	 */
	CallRequirements demand() {
		return new CallRequirements(this.call.id(), this.call.service(), this.call.regions(), this.call.priority(),
				rank(), this.call.route().policy().streaming(), this.streamWeights, Set.copyOf(this.tried));
	}

	private CallRequirements.QueueClass rank() {
		if (this.reply.begun()) {
			return CallRequirements.QueueClass.STARTED;
		}
		return this.call.late() ? CallRequirements.QueueClass.LATE : CallRequirements.QueueClass.ON_TIME;
	}

	private void logPlaced(Placement placement, int attempt) {
		this.context.log()
			.log(Event.CALL_PLACED, "request", this.call.id(), "route", this.call.route().name(), "upstream",
					placement.upstream().id(), "load", placement.load(), "capacity", placement.capacity(), "reportAge",
					placement.reportAgeMillis(), "waited", placement.waitedMillis(), "attempt", attempt,
					"configuration", this.call.tableVersion());
	}

	private void logBroken(String upstream, String reason) {
		this.context.metrics().counter("call.hand_over_failed").inc();
		this.context.log()
			.log(Event.HAND_OVER_FAILED, "request", this.call.id(), "upstream", upstream, "reason", reason, "sends",
					this.sends);
	}

}
