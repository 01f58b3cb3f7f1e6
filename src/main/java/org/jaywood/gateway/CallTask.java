package org.jaywood.gateway;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.Placement;
import org.jaywood.wire.NotRunStatus;

/**
 * Runs one call from its admission to its final response: places it, sends it, retries
 * where that is allowed, and reports correctly whether the call may have run.
 */
final class CallTask implements Runnable {

	/** Reason of the response to a call that ended with an unexpected error. */
	private static final String INTERNAL_ERROR = "error";

	private static final long ERROR_RETRY_MILLIS = 1_000;

	private final GatewayContext context;

	private final Call call;

	private final CallerResponse response;

	private final Cancellation cancellation;

	private final StreamProgress progress = new StreamProgress();

	private final CallAttempts attempts;

	CallTask(GatewayContext context, Call call, CallerResponse response, Cancellation cancellation) {
		this.context = context;
		this.call = call;
		this.response = response;
		this.cancellation = cancellation;
		this.attempts = new CallAttempts(context, call, response, cancellation);
	}

	@Override
	public void run() {
		this.context.demandMeter().onArrival(this.call.service());
		try {
			runAttempts();
		}
		catch (CallerGoneException ex) {
			logCallerGone(String.valueOf(ex.getMessage()));
		}
		catch (RuntimeException | Error ex) {
			respondInternalError(ex);
		}
		finally {
			this.context.demandMeter().onEnd(this.call.service());
		}
	}

	/**
	 * Responds to a call that ended with an unexpected error. As for any other failure,
	 * the response states whether the call may have run.
	 */
	private void respondInternalError(Throwable error) {
		this.context.log()
			.log(Event.HANDLER_FAILED, "method", this.call.request().head().getMethod(), "path",
					this.call.request().head().getRequestUri(), "error", error);
		try {
			if (this.response.committed()) {
				giveUp(INTERNAL_ERROR);
			}
			else {
				respond(this.attempts.mayHaveRun() ? new CallFailure.Indeterminate(INTERNAL_ERROR, false)
						: new CallFailure.NotRun(INTERNAL_ERROR, ERROR_RETRY_MILLIS));
			}
		}
		catch (CallerGoneException ex) {
			logCallerGone(String.valueOf(ex.getMessage()));
		}
	}

	private void runAttempts() throws CallerGoneException {
		this.context.budget(this.call.service()).recordCall();
		while (true) {
			if (this.cancellation.cancelled()) {
				logCallerGone("closed");
				return;
			}
			Placement placement = this.attempts.awaitPlacement(BootClock.nowMillis());
			if (placement == null) {
				if (this.cancellation.cancelled()) {
					logCallerGone("closed");
				}
				else {
					giveUp(this.attempts.noPlacementReason());
				}
				return;
			}
			if (runAttempt(placement)) {
				return;
			}
			String noRetryReason = this.attempts.noRetryReason(BootClock.nowMillis());
			if (noRetryReason != null) {
				giveUp(noRetryReason);
				return;
			}
		}
	}

	/**
	 * Runs one attempt, which may be hedged.
	 * @return whether the call has ended
	 */
	private boolean runAttempt(Placement placement) throws CallerGoneException {
		String refusalReason = this.attempts.tryBegin(placement, BootClock.nowMillis());
		if (refusalReason != null) {
			giveUp(refusalReason);
			return true;
		}
		long beginMillis = BootClock.nowMillis();
		this.context.demandMeter().onAttemptBegin(this.call.service());
		try {
			return runBegun(placement);
		}
		finally {
			this.context.demandMeter().onAttemptEnd(this.call.service(), BootClock.nowMillis() - beginMillis);
		}
	}

	private boolean runBegun(Placement placement) throws CallerGoneException {
		AttemptRunner runner = new AttemptRunner(this.context, this.call, this.response, this.cancellation,
				this.progress, this.attempts);
		return switch (runner.run(placement)) {
			case AttemptResult.Delivered delivered -> {
				logAnswered(delivered.status());
				yield true;
			}
			case AttemptResult.CallerGone gone -> {
				logCallerGone("closed");
				yield true;
			}
			case AttemptResult.Failed failed -> false;
			case AttemptResult.NotRun notRun -> false;
			case AttemptResult.Indeterminate indeterminate -> false;
			case AttemptResult.Superseded superseded -> false;
		};
	}

	private void giveUp(String reason) throws CallerGoneException {
		if (this.response.committed()) {
			// The missing last chunk shows the caller that the response is incomplete.
			this.context.metrics().counter("call.cut").inc();
			this.context.metrics().counter("call.cut." + reason).inc();
			this.context.log()
				.log(Event.CALL_CUT, "request", this.call.id(), "reason", reason, "lastEvent",
						String.valueOf(this.progress.lastEventId()), "sends", this.attempts.attemptsSent());
			this.response.closeConnectionAfter();
			return;
		}
		BufferedUpstreamResponse failed = this.attempts.failedResponse();
		if (failed != null && mayForward(failed)) {
			this.response.forward(failed);
			logAnswered(failed.head().getCode());
			return;
		}
		long nowMillis = BootClock.nowMillis();
		if (this.attempts.mayHaveRun()) {
			boolean timedOut = this.call.remainingMillis(nowMillis) <= 0;
			respond(new CallFailure.Indeterminate(reason, timedOut));
			return;
		}
		this.context.demandMeter().onRefusal(this.call.service(), reason);
		respond(new CallFailure.NotRun(reason, this.attempts.retryAfterMillis(nowMillis)));
	}

	/**
	 * Whether the response of an upstream that failed may be forwarded. It may not if its
	 * status would tell the caller that the call has not run.
	 */
	private static boolean mayForward(BufferedUpstreamResponse response) {
		return !NotRunStatus.matches(response.head().getCode());
	}

	private void respond(CallFailure failure) throws CallerGoneException {
		this.context.errorResponder().respond(this.response, this.call.id(), this.call.arrivedMillis(), failure);
	}

	private void logAnswered(int status) {
		long millis = BootClock.nowMillis() - this.call.arrivedMillis();
		this.context.metrics().recordAnswer(millis);
		this.context.metrics().counter("call.answered").inc();
		this.context.log()
			.log(Event.CALL_ANSWERED, "request", this.call.id(), "status", status, "upstream",
					this.attempts.answeringUpstream(), "millis", millis, "sends", this.attempts.attemptsSent() + 1);
	}

	/**
	 * Logs that the caller has left.
	 * @param error why writing failed, or how reading ended
	 */
	private void logCallerGone(String error) {
		RequestStage stage = this.cancellation.sent() ? RequestStage.SENT : RequestStage.READ;
		this.context.metrics().counter("call.caller_gone").inc();
		this.context.log()
			.log(Event.CALLER_GONE, "request", this.call.id(), "stage", stage.label(), "millis",
					BootClock.nowMillis() - this.call.arrivedMillis(), "error", error, "begun",
					this.response.committed(), "sends", this.attempts.attemptsSent());
	}

}
