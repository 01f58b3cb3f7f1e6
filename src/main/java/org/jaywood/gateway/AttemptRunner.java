package org.jaywood.gateway;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.ConnectionException;
import org.jaywood.http.StreamedResponse;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.Placement;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.MemoryUse;

/**
 * Runs one attempt of a call and forwards the response to the caller. While the upstream
 * is silent, a call that may run twice gets a hedged attempt at a second upstream. The
 * attempt that makes progress first keeps the call; the silent one is ended only then,
 * since it may still be healthy and continue.
 */
final class AttemptRunner {

	private static final long CONNECT_TIMEOUT_MILLIS = 300;

	/**
	 * Time-out for sending the request of a hedged attempt. The first attempt is not
	 * polled meanwhile.
	 */
	private static final long HEDGE_SEND_TIMEOUT_MILLIS = 200;

	/** Reason of an attempt that was ended since nothing comes from its VM. */
	private static final String SILENT_VM = "silent with its VM";

	/** Reason of an attempt that ended with an unexpected error of the gateway. */
	private static final String INTERNAL_ERROR = "error of the gateway";

	/**
	 * Interval at which an attempt that has not begun is checked for the version that its
	 * engine serves.
	 */
	private static final long BEGIN_CHECK_INTERVAL_MILLIS = 200;

	/** Time for which each of two concurrent attempts is polled in turn. */
	private static final long POLL_MILLIS = 20;

	/**
	 * Longest poll of a single attempt, after which the deadline is checked again, since
	 * a graceful shutdown may have begun.
	 */
	private static final long MAX_POLL_MILLIS = 500;

	private final GatewayContext context;

	private final Call call;

	private final CallerResponse response;

	private final Cancellation cancellation;

	private final StreamProgress progress;

	private final CallAttempts attempts;

	private @Nullable Attempt hedge;

	private final HedgePlacement hedgePlacement;

	/**
	 * Creates a runner.
	 * @param progress what the caller has received of a stream
	 * @param attempts placements and results of the attempts of the call
	 */
	AttemptRunner(GatewayContext context, Call call, CallerResponse response, Cancellation cancellation,
			StreamProgress progress, CallAttempts attempts) {
		this.context = context;
		this.call = call;
		this.response = response;
		this.cancellation = cancellation;
		this.progress = progress;
		this.attempts = attempts;
		this.hedgePlacement = new HedgePlacement(context, call, response, attempts);
	}

	/**
	 * Runs the attempt, and a hedged one where that is needed.
	 * @return result of the last attempt; all attempts have been ended
	 */
	AttemptResult run(Placement placement) {
		Attempt first;
		try {
			first = start(placement, remainingMillis());
		}
		catch (AttemptEndedException ex) {
			return ex.result();
		}
		this.hedgePlacement.restart(BootClock.nowMillis());
		return relay(first);
	}

	private AttemptResult relay(Attempt first) {
		Attempt current = first;
		try {
			while (true) {
				AttemptResult failure = poll(current);
				if (failure == null) {
					current = pollHedge(current);
					continue;
				}
				end(current, failure);
				Attempt next = this.hedge;
				if (next == null || failure instanceof AttemptResult.Delivered
						|| failure instanceof AttemptResult.CallerGone) {
					return failure;
				}
				this.hedge = null;
				current = next;
				this.hedgePlacement.restart(BootClock.nowMillis());
			}
		}
		catch (RuntimeException | Error ex) {
			end(current, new AttemptResult.Indeterminate(INTERNAL_ERROR, Outcome.CANCELLED));
			throw ex;
		}
		finally {
			cancelHedge();
			this.hedgePlacement.leaveQueue(BootClock.nowMillis());
		}
	}

	/**
	 * Polls the attempt that has the call.
	 * @return how the attempt ended, or null if it continues
	 */
	private @Nullable AttemptResult poll(Attempt attempt) {
		try {
			long nowMillis = BootClock.nowMillis();
			if (this.call.remainingMillis(nowMillis) <= 0) {
				cancelHedge();
				throw new IOException("no answer within the time of the call");
			}
			this.attempts.requireTimelyBegin(attempt, nowMillis);
			if (this.hedge == null && this.hedgePlacement.hopeless(attempt.placement(), nowMillis)) {
				throw new AttemptEndedException(new AttemptResult.Indeterminate(SILENT_VM, Outcome.SILENT));
			}
			boolean progressed = attempt.awaitProgress(pollTimeoutMillis(attempt, nowMillis));
			this.attempts.meter(attempt, BootClock.nowMillis());
			if (progressed) {
				attempt.placement().activity().onProgress(BootClock.nowMillis());
				cancelHedge();
				this.hedgePlacement.restart(BootClock.nowMillis());
			}
			return (progressed || (this.response.committed() && attempt.hasResponse())) ? forward(attempt) : null;
		}
		catch (IOException ex) {
			return resultOf(ex);
		}
	}

	/**
	 * Forwards to the caller what has arrived from an attempt.
	 * @return how the attempt ended, or null if it continues
	 */
	private @Nullable AttemptResult forward(Attempt attempt) throws IOException {
		StreamedResponse received = attempt.response();
		byte[] bytes = attempt.takePending();
		if (!this.response.committed()) {
			this.context.metrics().recordFirstByte(BootClock.nowMillis() - this.call.arrivedMillis());
			this.context.metrics().recordFirstEvent(attempt.placement().activity());
			if (attempt.responseComplete() && !attempt.streaming()) {
				this.response.forward(new BufferedUpstreamResponse(received.head(), bytes));
				return new AttemptResult.Delivered(received.status());
			}
			this.progress.onHeadForwarded(received.head());
			this.response.begin(received.head());
			attempt.memory().markAnswered();
		}
		if (attempt.becomesProven(BootClock.nowMillis())) {
			this.attempts.screen().onProven(attempt);
		}
		this.progress.onEventsForwarded(attempt.lastEventId());
		this.response.write(bytes, bytes.length);
		attempt.placement().activity().onForwarded(BootClock.nowMillis());
		if (!attempt.responseComplete()) {
			return null;
		}
		this.response.finish();
		return new AttemptResult.Delivered(received.status());
	}

	/**
	 * Polls the hedged attempt, or starts one if there is none.
	 * @return the attempt that has the call from now on
	 */
	private Attempt pollHedge(Attempt current) {
		Attempt second = this.hedge;
		if (second == null) {
			startHedge(current);
			return current;
		}
		try {
			this.attempts.requireTimelyBegin(second, BootClock.nowMillis());
			boolean progressed = second.awaitProgress(POLL_MILLIS);
			this.attempts.meter(second, BootClock.nowMillis());
			if (!progressed) {
				return current;
			}
		}
		catch (IOException ex) {
			this.hedge = null;
			end(second, resultOf(ex));
			return current;
		}
		catch (RuntimeException | Error ex) {
			logError(ex);
			this.hedge = null;
			end(second, new AttemptResult.Indeterminate(INTERNAL_ERROR, Outcome.CANCELLED));
			return current;
		}
		this.hedge = null;
		end(current, new AttemptResult.Indeterminate("silent, answered elsewhere", Outcome.SILENT));
		this.hedgePlacement.restart(BootClock.nowMillis());
		return second;
	}

	private void startHedge(Attempt current) {
		if (this.cancellation.cancelled()) {
			return;
		}
		try {
			Optional<Placement> placement = this.hedgePlacement.poll(current.placement(), BootClock.nowMillis());
			if (placement.isPresent()) {
				this.hedge = start(placement.get(), HEDGE_SEND_TIMEOUT_MILLIS);
			}
		}
		catch (AttemptEndedException ex) {
			// Its result has been recorded; the first attempt keeps the call.
			this.hedge = null;
		}
		catch (RuntimeException | Error ex) {
			logError(ex);
		}
	}

	/**
	 * Sends the call to an upstream.
	 * @param sendMillis time-out for sending the request
	 * @throws AttemptEndedException if sending fails; the attempt has been ended
	 */
	private Attempt start(Placement placement, long sendMillis) throws AttemptEndedException {
		Upstream upstream = placement.upstream();
		ClientConnection connection;
		long openedMillis = BootClock.nowMillis();
		try {
			connection = this.context.pool()
				.acquire(upstream.address(), this.call.id(), Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis()));
		}
		catch (ConnectionException ex) {
			AttemptResult result = new AttemptResult.NotRun(Outcome.UNREACHABLE, false,
					String.valueOf(ex.getMessage()));
			this.attempts.onEnded(placement, result, AttemptProgress.NONE);
			throw new AttemptEndedException(result);
		}
		if (!connection.used()) {
			long nowMillis = BootClock.nowMillis();
			this.context.dispatcher().onConnected(upstream, nowMillis - openedMillis, nowMillis);
		}
		Attempt attempt = new Attempt(placement, connection, this.context.protocol(), this.call,
				this.response.committed() ? this.progress : null,
				new AnswerMemory(this.context.memory().open(MemoryUse.ANSWER, connection::abort)),
				(head) -> this.context.notices().onResponse(this.call, placement, head, BootClock.nowMillis()));
		this.cancellation.attach(connection);
		this.attempts.screen().onStarted(attempt);
		ClassicHttpRequest request = request(attempt);
		try {
			if (this.cancellation.cancelled()) {
				throw new IOException("the caller is gone");
			}
			connection.send(request, this.call.request().body(), Math.min(sendMillis, remainingMillis()));
			placement.activity().onSent(BootClock.nowMillis());
			return attempt;
		}
		catch (IOException ex) {
			AttemptResult result = resultOf(ex);
			end(attempt, result);
			throw new AttemptEndedException(result);
		}
		catch (RuntimeException | Error ex) {
			// A part of the request may have been sent.
			end(attempt, new AttemptResult.Indeterminate(INTERNAL_ERROR, Outcome.CANCELLED));
			throw ex;
		}
	}

	private ClassicHttpRequest request(Attempt attempt) {
		try {
			OptionalLong version = this.attempts.requiredVersion(BootClock.nowMillis());
			return UpstreamRequest.of(this.call, this.context.protocol(),
					new AttemptHeaders(attempt.placement().upstream().id(), version, remainingMillis(),
							(this.call.workspace() != null) ? this.call.workspace().name() : null,
							this.call.queuePriority(), this.response.committed() ? this.progress.lastEventId() : null));
		}
		catch (RuntimeException | Error ex) {
			end(attempt, new AttemptResult.NotRun(Outcome.CANCELLED, false, INTERNAL_ERROR));
			throw ex;
		}
	}

	private void cancelHedge() {
		Attempt second = this.hedge;
		if (second != null) {
			this.hedge = null;
			end(second, new AttemptResult.Superseded());
		}
	}

	private void end(Attempt attempt, AttemptResult result) {
		if (!attempt.markEnded()) {
			return;
		}
		attempt.memory().close();
		ClientConnection connection = attempt.connection();
		this.cancellation.detach(connection);
		this.attempts.screen().onEnded(attempt);
		try {
			this.attempts.onEnded(attempt.placement(), result, attempt.progress());
		}
		catch (RuntimeException | Error ex) {
			logError(ex);
		}
		if (result instanceof AttemptResult.NotRun) {
			connection.markRefused(this.call.id());
		}
		boolean responseRead = result instanceof AttemptResult.Delivered || result instanceof AttemptResult.Failed
				|| result instanceof AttemptResult.NotRun;
		if (responseRead && attempt.connectionReusable() && !this.cancellation.cancelled()) {
			this.context.pool().release(connection);
		}
		else {
			connection.abort();
			if (this.cancellation.cancelled()) {
				logAbandoned(attempt.placement(), BootClock.nowMillis());
			}
		}
	}

	private void logAbandoned(Placement placement, long nowMillis) {
		this.context.log()
			.log(Event.ATTEMPT_ABANDONED, "request", this.call.id(), "upstream", placement.upstream().id(), "millis",
					nowMillis - placement.placedMillis(), "silentMillis", placement.activity().silenceMillis(nowMillis),
					"agentSilentMillis", this.context.dispatcher().agentSilenceMillis(placement.upstream(), nowMillis));
	}

	private void logError(Throwable error) {
		this.context.log()
			.log(Event.HANDLER_FAILED, "method", this.call.request().head().getMethod(), "path",
					this.call.request().head().getRequestUri(), "error", error);
	}

	private AttemptResult resultOf(IOException cause) {
		if (cause instanceof CallerGoneException || this.cancellation.cancelled()) {
			return new AttemptResult.CallerGone();
		}
		if (this.attempts.screen().blocked()) {
			return new AttemptResult.Indeterminate(CallAttempts.BLOCKED_PARTS, Outcome.CANCELLED);
		}
		return (cause instanceof AttemptEndedException ended) ? ended.result()
				: new AttemptResult.Indeterminate(String.valueOf(cause.getMessage()), Outcome.INDETERMINATE);
	}

	private long pollTimeoutMillis(Attempt attempt, long nowMillis) {
		long leftMillis = Math.max(1, this.call.remainingMillis(nowMillis));
		long pollMillis = (this.hedge != null) ? POLL_MILLIS : this.hedgePlacement.checkInMillis(nowMillis);
		long checkMillis = attempt.hasResponse() ? MAX_POLL_MILLIS : BEGIN_CHECK_INTERVAL_MILLIS;
		return Math.min(leftMillis, Math.min(pollMillis, checkMillis));
	}

	private long remainingMillis() {
		return Math.max(1, this.call.remainingMillis(BootClock.nowMillis()));
	}

}
