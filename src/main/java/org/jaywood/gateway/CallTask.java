package org.jaywood.gateway;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.Demand;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.Placement;
import org.jaywood.routing.Ticket;

/**
 * One call from its admission to its final answer: finds a place, hands the call over,
 * tries again where that is allowed, and answers truthfully whether it has run.
 */
final class CallTask implements Runnable {

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

	private final EventCutter cutter = new EventCutter();

	private final Set<String> tried = new HashSet<>();

	private int sends;

	private boolean mayHaveRun;

	private boolean repeatReserved;

	private String noPlaceReason = NO_PLACE;

	/** Whether the call has arrived at an upstream, which may have refused it. */
	private boolean arrived;

	private @Nullable BufferedAnswer failedAnswer;

	private OptionalLong streamWeights = OptionalLong.empty();

	CallTask(GatewayContext context, Call call, CallerReply reply, Cancellation cancellation) {
		this.context = context;
		this.call = call;
		this.reply = reply;
		this.cancellation = cancellation;
	}

	@Override
	public void run() {
		try {
			serve();
		}
		catch (CallerGoneException ex) {
			logGone();
		}
	}

	private void serve() throws CallerGoneException {
		this.context.budget(this.call.service()).recordCall();
		while (true) {
			if (this.cancellation.cancelled()) {
				logGone();
				return;
			}
			Placement placement = awaitPlace();
			if (placement == null) {
				if (this.cancellation.cancelled()) {
					logGone();
				}
				else {
					giveUp(this.noPlaceReason);
				}
				return;
			}
			if (handOver(placement)) {
				return;
			}
			String obstacle = obstacleToRepeat();
			if (obstacle != null) {
				giveUp(obstacle);
				return;
			}
		}
	}

	private @Nullable Placement awaitPlace() {
		long nowMillis = BootClock.nowMillis();
		Demand demand = demand();
		Dispatcher dispatcher = this.context.dispatcher();
		if (!dispatcher.servable(demand, nowMillis)) {
			return null;
		}
		long untilMillis = (this.sends == 0) ? WaitLimit.untilMillis(this.call, nowMillis)
				: Math.min(this.call.endMillis(), nowMillis + REPEAT_WAIT_MILLIS);
		if (this.sends == 0 && !dispatcher.worthWaiting(demand, untilMillis - nowMillis, nowMillis)) {
			this.noPlaceReason = QUEUE_FULL;
			return null;
		}
		Ticket ticket = dispatcher.request(demand, nowMillis);
		this.cancellation.attach(ticket.placement());
		try {
			return ticket.placement().get(Math.max(0, untilMillis - nowMillis), TimeUnit.MILLISECONDS);
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
			this.cancellation.detach();
		}
	}

	private @Nullable Placement placedMeanwhile(Ticket ticket) {
		if (this.context.dispatcher().withdraw(ticket) || ticket.placement().isCancelled()) {
			return null;
		}
		return ticket.placement().join();
	}

	private Demand demand() {
		return new Demand(this.call.id(), this.call.service(), this.call.regions(), this.call.priority(), rank(),
				this.call.route().policy().streaming(), this.streamWeights, Set.copyOf(this.tried));
	}

	private Demand.Rank rank() {
		if (this.reply.begun()) {
			return Demand.Rank.STARTED;
		}
		return this.call.late() ? Demand.Rank.LATE : Demand.Rank.ON_TIME;
	}

	/**
	 * Runs one hand-over.
	 * @return whether the call has its final answer
	 */
	private boolean handOver(Placement placement) throws CallerGoneException {
		this.context.metrics().waited(placement.waitedMillis());
		boolean repeat = this.arrived && !this.repeatReserved;
		this.repeatReserved = false;
		if (repeat && !this.context.budget(this.call.service()).tryTake(BootClock.nowMillis())) {
			this.context.dispatcher().end(placement, Outcome.CANCELLED, BootClock.nowMillis());
			giveUp("retry-budget");
			return true;
		}
		OptionalLong weights = this.streamWeights.isPresent() ? this.streamWeights
				: this.context.dispatcher().requiredVersion(this.call.service(), BootClock.nowMillis());
		this.context.log()
			.log(Event.CALL_PLACED, "request", this.call.id(), "route", this.call.route().name(), "upstream",
					placement.upstream().id(), "load", placement.load(), "capacity", placement.capacity(), "reportAge",
					placement.reportAgeMillis(), "waited", placement.waitedMillis(), "attempt", this.sends + 1,
					"configuration", this.call.tableVersion());
		HandOver handOver = new HandOver(this.context.pool(), this.context.protocol(), this.call, this.reply,
				this.cancellation, this.cutter, this.context.metrics(), () -> reserveRepeat(placement));
		HandOverResult result = handOver.run(placement.upstream(), weights);
		return settle(placement, result);
	}

	/**
	 * Reserves another attempt while an upstream is silent, if one is allowed and would
	 * get a place at once. Otherwise the call stays where it may be running.
	 */
	private boolean reserveRepeat(Placement placement) {
		long nowMillis = BootClock.nowMillis();
		this.tried.add(placement.upstream().id());
		noteStreamWeights(placement);
		this.repeatReserved = this.sends + 1 < this.call.route().maxAttempts()
				&& this.context.dispatcher().hasRoom(demand(), nowMillis)
				&& this.context.budget(this.call.service()).tryTake(nowMillis);
		return this.repeatReserved;
	}

	private boolean settle(Placement placement, HandOverResult result) throws CallerGoneException {
		String upstream = placement.upstream().id();
		return switch (result) {
			case HandOverResult.Delivered delivered -> {
				end(placement, Outcome.ANSWERED);
				logAnswered(upstream, delivered.status());
				yield true;
			}
			case HandOverResult.CallerGone gone -> {
				end(placement, Outcome.CANCELLED);
				logGone();
				yield true;
			}
			case HandOverResult.Failed failed -> {
				end(placement, Outcome.FAILED);
				this.sends++;
				this.arrived = true;
				this.mayHaveRun = true;
				this.failedAnswer = failed.answer();
				this.tried.add(upstream);
				logBroken(upstream, "status " + failed.answer().head().getCode());
				yield false;
			}
			case HandOverResult.NotRun notRun -> {
				end(placement, notRun.outcome());
				this.sends += (notRun.sent() && notRun.outcome() != Outcome.MISDIRECTED) ? 1 : 0;
				this.arrived |= notRun.sent();
				this.tried.add(upstream);
				logBroken(upstream, notRun.reason());
				yield false;
			}
			case HandOverResult.Broken broken -> {
				end(placement, broken.outcome());
				this.sends++;
				this.arrived = true;
				this.mayHaveRun = true;
				this.tried.add(upstream);
				this.cutter.dropPartial();
				noteStreamWeights(placement);
				logBroken(upstream, broken.reason());
				yield false;
			}
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

	private void end(Placement placement, Outcome outcome) {
		this.context.dispatcher().end(placement, outcome, BootClock.nowMillis());
	}

	/**
	 * Why the call may not be sent again, or null if it may.
	 */
	private @Nullable String obstacleToRepeat() {
		if (this.mayHaveRun && !this.call.route().policy().repeatable()) {
			return "not-repeatable";
		}
		if (this.sends >= this.call.route().maxAttempts()) {
			return "attempts";
		}
		if (this.call.remainingMillis(BootClock.nowMillis()) <= 0) {
			return "timeout";
		}
		return (this.tried.size() > MAX_TRIED) ? "tries" : null;
	}

	private void giveUp(String reason) throws CallerGoneException {
		if (this.reply.begun()) {
			// Without its last chunk the caller sees that the answer is incomplete.
			this.context.metrics().counter("call.cut").inc();
			this.context.log()
				.log(Event.CALL_CUT, "request", this.call.id(), "reason", reason, "lastEvent",
						String.valueOf(this.cutter.lastId()), "sends", this.sends);
			this.reply.closeAfter();
			return;
		}
		if (this.failedAnswer != null && passable(this.failedAnswer)) {
			this.reply.pass(this.failedAnswer);
			logAnswered("", this.failedAnswer.head().getCode());
			return;
		}
		long nowMillis = BootClock.nowMillis();
		if (this.mayHaveRun) {
			boolean timedOut = this.call.remainingMillis(nowMillis) <= 0;
			refuse(new CallFailure.Unknown(reason, timedOut));
			return;
		}
		refuse(new CallFailure.NotRun(reason, this.context.dispatcher().retryAfterMillis(demand(), nowMillis)));
	}

	/**
	 * Whether a failure of the upstream tells the caller nothing untrue.
	 */
	private static boolean passable(BufferedAnswer answer) {
		return answer.head().getCode() != HttpStatus.SC_SERVICE_UNAVAILABLE;
	}

	private void refuse(CallFailure failure) throws CallerGoneException {
		this.context.refusals().refuse(this.reply, this.call.id(), this.call.arrivedMillis(), failure);
	}

	private void logAnswered(String upstream, int status) {
		long millis = BootClock.nowMillis() - this.call.arrivedMillis();
		this.context.metrics().answered(millis);
		this.context.metrics().counter("call.answered").inc();
		this.context.log()
			.log(Event.CALL_ANSWERED, "request", this.call.id(), "status", status, "upstream", upstream, "millis",
					millis, "sends", this.sends + 1);
	}

	private void logBroken(String upstream, String reason) {
		this.context.metrics().counter("call.hand_over_failed").inc();
		this.context.log()
			.log(Event.HAND_OVER_FAILED, "request", this.call.id(), "upstream", upstream, "reason", reason, "sends",
					this.sends);
	}

	private void logGone() {
		this.context.metrics().counter("call.caller_gone").inc();
		this.context.log()
			.log(Event.CALLER_GONE, "request", this.call.id(), "millis",
					BootClock.nowMillis() - this.call.arrivedMillis(), "sends", this.sends);
	}

}
