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
import org.jaywood.routing.RetryPolicy;
import org.jaywood.routing.Upstream;

/**
 * Hands a call over to an upstream and passes its answer on. While the upstream is
 * silent, a call that may run twice is sent to a second one beside it; whichever answers
 * first keeps the call, and the silent one is left only then, since it may be sound and
 * go on.
 */
final class AttemptRunner {

	private static final long CONNECT_TIMEOUT_MILLIS = 300;

	/** Silence after which a second upstream is asked for a plain answer. */
	private static final long PLAIN_HEDGE_DELAY_MILLIS = 1_200;

	/**
	 * Silence after which a second upstream is asked to go on with a stream. Callers give
	 * a stream up after two seconds at the earliest.
	 */
	private static final long STREAM_HEDGE_DELAY_MILLIS = 1_500;

	/** Interval at which a silent call asks again for a place beside. */
	private static final long HEDGE_PLACEMENT_INTERVAL_MILLIS = 300;

	/**
	 * Time in which a second upstream takes a request, while the first one is not heard.
	 */
	private static final long HEDGE_SEND_TIMEOUT_MILLIS = 200;

	/** Reason of an attempt that met an unexpected error. */
	private static final String INTERNAL_ERROR = "error of the gateway";

	/** Time for which each of two upstreams is listened to in turn. */
	private static final long POLL_MILLIS = 20;

	private final GatewayContext context;

	private final Call call;

	private final CallerResponse response;

	private final Cancellation cancellation;

	private final StreamProgress progress;

	private final CallAttempts attempts;

	private @Nullable Attempt hedge;

	private long nextHedgeMillis;

	/**
	 * Creates a hand-over.
	 * @param progress what the caller has of a stream
	 * @param attempts places of the call, and what became of its attempts
	 */
	AttemptRunner(GatewayContext context, Call call, CallerResponse reply, Cancellation cancellation,
			StreamProgress progress, CallAttempts attempts) {
		this.context = context;
		this.call = call;
		this.response = reply;
		this.cancellation = cancellation;
		this.progress = progress;
		this.attempts = attempts;
	}

	/**
	 * Runs the hand-over.
	 * @return how the last attempt ended; all have been ended
	 */
	AttemptResult run(Placement placement) {
		Attempt first;
		try {
			first = start(placement, remainingMillis());
		}
		catch (AttemptEndedException ex) {
			return ex.result();
		}
		restartHedgeDelay();
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
				restartHedgeDelay();
			}
		}
		catch (RuntimeException | Error ex) {
			end(current, new AttemptResult.Indeterminate(INTERNAL_ERROR, Outcome.CANCELLED));
			throw ex;
		}
		finally {
			cancelHedge();
		}
	}

	/**
	 * Listens to the upstream that has the call.
	 * @return how the attempt ended, or null if it goes on
	 */
	private @Nullable AttemptResult poll(Attempt attempt) {
		try {
			long nowMillis = BootClock.nowMillis();
			if (this.call.remainingMillis(nowMillis) <= 0) {
				cancelHedge();
				throw new IOException("no answer within the time of the call");
			}
			boolean progress = attempt.awaitProgress(pollTimeoutMillis(nowMillis));
			if (progress) {
				cancelHedge();
				restartHedgeDelay();
			}
			return (progress || (this.response.committed() && attempt.hasResponse())) ? forward(attempt) : null;
		}
		catch (IOException ex) {
			return resultOf(ex);
		}
	}

	/**
	 * Passes on what an attempt has brought.
	 * @return how the attempt ended, or null if it goes on
	 */
	private @Nullable AttemptResult forward(Attempt attempt) throws IOException {
		StreamedResponse answer = attempt.response();
		byte[] bytes = attempt.takePending();
		if (!this.response.committed()) {
			this.context.metrics().recordFirstByte(BootClock.nowMillis() - this.call.arrivedMillis());
			if (attempt.responseComplete() && !attempt.streaming()) {
				this.response.forward(new BufferedUpstreamResponse(answer.head(), bytes));
				return new AttemptResult.Delivered(answer.status());
			}
			this.progress.onHeadForwarded(answer.head());
			this.response.begin(answer.head());
		}
		this.progress.onEventsForwarded(attempt.lastEventId());
		this.response.write(bytes, bytes.length);
		if (!attempt.responseComplete()) {
			return null;
		}
		this.response.finish();
		return new AttemptResult.Delivered(answer.status());
	}

	/**
	 * Listens to the upstream that was asked beside a silent one, or asks one.
	 * @return the attempt that has the call from now on
	 */
	private Attempt pollHedge(Attempt current) {
		Attempt beside = this.hedge;
		if (beside == null) {
			startHedge(current);
			return current;
		}
		try {
			if (!beside.awaitProgress(POLL_MILLIS)) {
				return current;
			}
		}
		catch (IOException ex) {
			this.hedge = null;
			end(beside, resultOf(ex));
			return current;
		}
		catch (RuntimeException | Error ex) {
			logError(ex);
			this.hedge = null;
			end(beside, new AttemptResult.Indeterminate(INTERNAL_ERROR, Outcome.CANCELLED));
			return current;
		}
		this.hedge = null;
		end(current, new AttemptResult.Indeterminate("silent, answered elsewhere", Outcome.BROKEN));
		restartHedgeDelay();
		return beside;
	}

	private void startHedge(Attempt current) {
		long nowMillis = BootClock.nowMillis();
		if (nowMillis < this.nextHedgeMillis || this.cancellation.cancelled()) {
			return;
		}
		if (this.response.committed() && this.call.route().policy() != RetryPolicy.RESUMABLE_STREAM) {
			this.nextHedgeMillis = Long.MAX_VALUE;
			return;
		}
		this.nextHedgeMillis = nowMillis + HEDGE_PLACEMENT_INTERVAL_MILLIS;
		try {
			Optional<Placement> place = this.attempts.placeHedge(current.placement(), nowMillis);
			if (place.isPresent()) {
				this.hedge = start(place.get(), HEDGE_SEND_TIMEOUT_MILLIS);
			}
		}
		catch (AttemptEndedException ex) {
			// Its end has been noted; the silent upstream keeps the call.
			this.hedge = null;
		}
		catch (RuntimeException | Error ex) {
			logError(ex);
		}
	}

	/**
	 * Sends the call to an upstream.
	 * @param sendMillis longest time in which the upstream takes the request
	 * @throws AttemptEndedException if that fails; the attempt has been ended
	 */
	private Attempt start(Placement placement, long sendMillis) throws AttemptEndedException {
		Upstream upstream = placement.upstream();
		ClientConnection connection;
		try {
			connection = this.context.pool()
				.acquire(upstream.address(), this.call.id(), Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis()));
		}
		catch (ConnectionException ex) {
			AttemptResult result = new AttemptResult.NotRun(Outcome.UNREACHABLE, false,
					String.valueOf(ex.getMessage()));
			this.attempts.onEnded(placement, result);
			throw new AttemptEndedException(result);
		}
		Attempt attempt = new Attempt(placement, connection, this.context.protocol(), this.call,
				this.response.committed() ? this.progress : null);
		this.cancellation.attach(connection);
		ClassicHttpRequest request = request(attempt);
		try {
			if (this.cancellation.cancelled()) {
				throw new IOException("the caller is gone");
			}
			connection.send(request, this.call.request().body(), Math.min(sendMillis, remainingMillis()));
			return attempt;
		}
		catch (IOException ex) {
			AttemptResult result = resultOf(ex);
			end(attempt, result);
			throw new AttemptEndedException(result);
		}
	}

	private ClassicHttpRequest request(Attempt attempt) {
		try {
			OptionalLong weights = this.attempts.requiredVersion(BootClock.nowMillis());
			return UpstreamRequest.of(this.call, this.context.protocol(),
					new AttemptHeaders(attempt.placement().upstream().id(), weights, remainingMillis(),
							(this.call.workspace() != null) ? this.call.workspace().name() : null,
							this.call.queuePriority(), this.response.committed() ? this.progress.lastEventId() : null));
		}
		catch (RuntimeException | Error ex) {
			end(attempt, new AttemptResult.NotRun(Outcome.CANCELLED, false, INTERNAL_ERROR));
			throw ex;
		}
	}

	private void cancelHedge() {
		Attempt beside = this.hedge;
		if (beside != null) {
			this.hedge = null;
			end(beside, new AttemptResult.Superseded());
		}
	}

	private void end(Attempt attempt, AttemptResult result) {
		if (!attempt.markEnded()) {
			return;
		}
		ClientConnection connection = attempt.connection();
		this.cancellation.detach(connection);
		try {
			this.attempts.onEnded(attempt.placement(), result);
		}
		catch (RuntimeException | Error ex) {
			logError(ex);
		}
		if (result instanceof AttemptResult.NotRun) {
			connection.noteRefused(this.call.id());
		}
		boolean read = result instanceof AttemptResult.Delivered || result instanceof AttemptResult.Failed
				|| result instanceof AttemptResult.NotRun;
		if (read && attempt.connectionReusable() && !this.cancellation.cancelled()) {
			this.context.pool().release(connection);
		}
		else {
			connection.abort();
		}
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
		return (cause instanceof AttemptEndedException ended) ? ended.result()
				: new AttemptResult.Indeterminate(String.valueOf(cause.getMessage()), Outcome.BROKEN);
	}

	/**
	 * Notes that the upstream with the call has said something, from which its silence
	 * counts.
	 */
	private void restartHedgeDelay() {
		RetryPolicy policy = this.call.route().policy();
		long silenceMillis = policy.streaming() ? STREAM_HEDGE_DELAY_MILLIS : PLAIN_HEDGE_DELAY_MILLIS;
		this.nextHedgeMillis = policy.retryable() ? BootClock.nowMillis() + silenceMillis : Long.MAX_VALUE;
	}

	private long pollTimeoutMillis(long nowMillis) {
		long leftMillis = Math.max(1, this.call.remainingMillis(nowMillis));
		long turnMillis = (this.hedge != null) ? POLL_MILLIS : Math.max(1, this.nextHedgeMillis - nowMillis);
		return Math.min(leftMillis, turnMillis);
	}

	private long remainingMillis() {
		return Math.max(1, this.call.remainingMillis(BootClock.nowMillis()));
	}

}
