package org.jaywood.gateway;

import org.apache.hc.core5.http.HttpStatus;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.Placement;

/**
 * One call from its admission to its final answer: finds a place, hands the call over,
 * tries again where that is allowed, and answers truthfully whether it has run.
 */
final class CallTask implements Runnable {

	/** Reason of an answer to a call that met an unexpected error. */
	private static final String ERROR = "error";

	private static final long ERROR_RETRY_MILLIS = 1_000;

	private final GatewayContext context;

	private final Call call;

	private final CallerReply reply;

	private final Cancellation cancellation;

	private final StreamProgress progress = new StreamProgress();

	private final CallAttempts attempts;

	CallTask(GatewayContext context, Call call, CallerReply reply, Cancellation cancellation) {
		this.context = context;
		this.call = call;
		this.reply = reply;
		this.cancellation = cancellation;
		this.attempts = new CallAttempts(context, call, reply, cancellation);
	}

	@Override
	public void run() {
		try {
			serve();
		}
		catch (CallerGoneException ex) {
			logGone();
		}
		catch (RuntimeException | Error ex) {
			answerError(ex);
		}
	}

	/**
	 * Answers a call that met an unexpected error, as truthfully as any other.
	 */
	private void answerError(Throwable error) {
		this.context.log()
			.log(Event.HANDLER_FAILED, "method", this.call.request().head().getMethod(), "path",
					this.call.request().head().getRequestUri(), "error", error);
		try {
			if (this.reply.begun()) {
				giveUp(ERROR);
			}
			else {
				refuse(this.attempts.mayHaveRun() ? new CallFailure.Unknown(ERROR, false)
						: new CallFailure.NotRun(ERROR, ERROR_RETRY_MILLIS));
			}
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
			Placement placement = this.attempts.awaitPlace(BootClock.nowMillis());
			if (placement == null) {
				if (this.cancellation.cancelled()) {
					logGone();
				}
				else {
					giveUp(this.attempts.noPlaceReason());
				}
				return;
			}
			if (handOver(placement)) {
				return;
			}
			String obstacle = this.attempts.obstacleToRepeat(BootClock.nowMillis());
			if (obstacle != null) {
				giveUp(obstacle);
				return;
			}
		}
	}

	/**
	 * Runs one hand-over.
	 * @return whether the call has its final answer
	 */
	private boolean handOver(Placement placement) throws CallerGoneException {
		if (!this.attempts.begin(placement, BootClock.nowMillis())) {
			giveUp("retry-budget");
			return true;
		}
		HandOver handOver = new HandOver(this.context, this.call, this.reply, this.cancellation, this.progress,
				this.attempts);
		return switch (handOver.run(placement)) {
			case HandOverResult.Delivered delivered -> {
				logAnswered(delivered.status());
				yield true;
			}
			case HandOverResult.CallerGone gone -> {
				logGone();
				yield true;
			}
			case HandOverResult.Failed failed -> false;
			case HandOverResult.NotRun notRun -> false;
			case HandOverResult.Broken broken -> false;
			case HandOverResult.Superseded superseded -> false;
		};
	}

	private void giveUp(String reason) throws CallerGoneException {
		if (this.reply.begun()) {
			// Without its last chunk the caller sees that the answer is incomplete.
			this.context.metrics().counter("call.cut").inc();
			this.context.log()
				.log(Event.CALL_CUT, "request", this.call.id(), "reason", reason, "lastEvent",
						String.valueOf(this.progress.lastId()), "sends", this.attempts.sends());
			this.reply.closeAfter();
			return;
		}
		BufferedAnswer failed = this.attempts.failedAnswer();
		if (failed != null && passable(failed)) {
			this.reply.pass(failed);
			logAnswered(failed.head().getCode());
			return;
		}
		long nowMillis = BootClock.nowMillis();
		if (this.attempts.mayHaveRun()) {
			boolean timedOut = this.call.remainingMillis(nowMillis) <= 0;
			refuse(new CallFailure.Unknown(reason, timedOut));
			return;
		}
		refuse(new CallFailure.NotRun(reason,
				this.context.dispatcher().retryAfterMillis(this.attempts.demand(), nowMillis)));
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

	private void logAnswered(int status) {
		long millis = BootClock.nowMillis() - this.call.arrivedMillis();
		this.context.metrics().answered(millis);
		this.context.metrics().counter("call.answered").inc();
		this.context.log()
			.log(Event.CALL_ANSWERED, "request", this.call.id(), "status", status, "upstream",
					this.attempts.answeredBy(), "millis", millis, "sends", this.attempts.sends() + 1);
	}

	private void logGone() {
		this.context.metrics().counter("call.caller_gone").inc();
		this.context.log()
			.log(Event.CALLER_GONE, "request", this.call.id(), "millis",
					BootClock.nowMillis() - this.call.arrivedMillis(), "sends", this.attempts.sends());
	}

}
