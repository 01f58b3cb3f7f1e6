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

	private static final long CONNECT_MILLIS = 300;

	/** Silence after which a second upstream is asked for a plain answer. */
	private static final long PLAIN_SILENCE_MILLIS = 1_200;

	/**
	 * Silence after which a second upstream is asked to go on with a stream. Callers give
	 * a stream up after two seconds at the earliest.
	 */
	private static final long STREAM_SILENCE_MILLIS = 1_500;

	/** Interval at which a silent call asks again for a place beside. */
	private static final long RECHECK_MILLIS = 300;

	/**
	 * Time in which a second upstream takes a request, while the first one is not heard.
	 */
	private static final long BESIDE_SEND_MILLIS = 200;

	/** Reason of an attempt that met an unexpected error. */
	private static final String ERROR = "error of the gateway";

	/** Time for which each of two upstreams is listened to in turn. */
	private static final long TURN_MILLIS = 20;

	private final GatewayContext context;

	private final Call call;

	private final CallerReply reply;

	private final Cancellation cancellation;

	private final StreamProgress progress;

	private final CallAttempts attempts;

	private @Nullable Attempt standby;

	private long askMillis;

	/**
	 * Creates a hand-over.
	 * @param progress what the caller has of a stream
	 * @param attempts places of the call, and what became of its attempts
	 */
	AttemptRunner(GatewayContext context, Call call, CallerReply reply, Cancellation cancellation,
			StreamProgress progress, CallAttempts attempts) {
		this.context = context;
		this.call = call;
		this.reply = reply;
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
		noteSpoken();
		return relay(first);
	}

	private AttemptResult relay(Attempt first) {
		Attempt current = first;
		try {
			while (true) {
				AttemptResult failure = listen(current);
				if (failure == null) {
					current = listenBeside(current);
					continue;
				}
				end(current, failure);
				Attempt next = this.standby;
				if (next == null || failure instanceof AttemptResult.Delivered
						|| failure instanceof AttemptResult.CallerGone) {
					return failure;
				}
				this.standby = null;
				current = next;
				noteSpoken();
			}
		}
		catch (RuntimeException | Error ex) {
			end(current, new AttemptResult.Broken(ERROR, Outcome.CANCELLED));
			throw ex;
		}
		finally {
			dropStandby();
		}
	}

	/**
	 * Listens to the upstream that has the call.
	 * @return how the attempt ended, or null if it goes on
	 */
	private @Nullable AttemptResult listen(Attempt attempt) {
		try {
			long nowMillis = BootClock.nowMillis();
			if (this.call.remainingMillis(nowMillis) <= 0) {
				dropStandby();
				throw new IOException("no answer within the time of the call");
			}
			boolean progress = attempt.awaitProgress(waitMillis(nowMillis));
			if (progress) {
				dropStandby();
				noteSpoken();
			}
			return (progress || (this.reply.committed() && attempt.answered())) ? pass(attempt) : null;
		}
		catch (IOException ex) {
			return failure(ex);
		}
	}

	/**
	 * Passes on what an attempt has brought.
	 * @return how the attempt ended, or null if it goes on
	 */
	private @Nullable AttemptResult pass(Attempt attempt) throws IOException {
		StreamedResponse answer = attempt.answer();
		byte[] bytes = attempt.take();
		if (!this.reply.committed()) {
			this.context.metrics().firstByte(BootClock.nowMillis() - this.call.arrivedMillis());
			if (attempt.ended() && !attempt.streaming()) {
				this.reply.pass(new BufferedUpstreamResponse(answer.head(), bytes));
				return new AttemptResult.Delivered(answer.status());
			}
			this.progress.begin(answer.head());
			this.reply.begin(answer.head());
		}
		this.progress.passed(attempt.lastId());
		this.reply.write(bytes, bytes.length);
		if (!attempt.ended()) {
			return null;
		}
		this.reply.finish();
		return new AttemptResult.Delivered(answer.status());
	}

	/**
	 * Listens to the upstream that was asked beside a silent one, or asks one.
	 * @return the attempt that has the call from now on
	 */
	private Attempt listenBeside(Attempt current) {
		Attempt beside = this.standby;
		if (beside == null) {
			askBeside(current);
			return current;
		}
		try {
			if (!beside.awaitProgress(TURN_MILLIS)) {
				return current;
			}
		}
		catch (IOException ex) {
			this.standby = null;
			end(beside, failure(ex));
			return current;
		}
		catch (RuntimeException | Error ex) {
			logError(ex);
			this.standby = null;
			end(beside, new AttemptResult.Broken(ERROR, Outcome.CANCELLED));
			return current;
		}
		this.standby = null;
		end(current, new AttemptResult.Broken("silent, answered elsewhere", Outcome.BROKEN));
		noteSpoken();
		return beside;
	}

	private void askBeside(Attempt current) {
		long nowMillis = BootClock.nowMillis();
		if (nowMillis < this.askMillis || this.cancellation.cancelled()) {
			return;
		}
		if (this.reply.committed() && this.call.route().policy() != RetryPolicy.RESUMABLE_STREAM) {
			this.askMillis = Long.MAX_VALUE;
			return;
		}
		this.askMillis = nowMillis + RECHECK_MILLIS;
		try {
			Optional<Placement> place = this.attempts.placeHedge(current.placement(), nowMillis);
			if (place.isPresent()) {
				this.standby = start(place.get(), BESIDE_SEND_MILLIS);
			}
		}
		catch (AttemptEndedException ex) {
			// Its end has been noted; the silent upstream keeps the call.
			this.standby = null;
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
				.acquire(upstream.address(), this.call.id(), Math.min(CONNECT_MILLIS, remainingMillis()));
		}
		catch (ConnectionException ex) {
			AttemptResult result = new AttemptResult.NotRun(Outcome.UNREACHABLE, false,
					String.valueOf(ex.getMessage()));
			this.attempts.ended(placement, result);
			throw new AttemptEndedException(result);
		}
		Attempt attempt = new Attempt(placement, connection, this.context.protocol(), this.call,
				this.reply.committed() ? this.progress : null);
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
			AttemptResult result = failure(ex);
			end(attempt, result);
			throw new AttemptEndedException(result);
		}
	}

	private ClassicHttpRequest request(Attempt attempt) {
		try {
			OptionalLong weights = this.attempts.weights(BootClock.nowMillis());
			return UpstreamRequest.of(this.call, this.context.protocol(),
					new AttemptHeaders(attempt.placement().upstream().id(), weights, remainingMillis(),
							(this.call.workspace() != null) ? this.call.workspace().name() : null,
							this.call.queuePriority(), this.reply.committed() ? this.progress.lastId() : null));
		}
		catch (RuntimeException | Error ex) {
			end(attempt, new AttemptResult.NotRun(Outcome.CANCELLED, false, ERROR));
			throw ex;
		}
	}

	private void dropStandby() {
		Attempt beside = this.standby;
		if (beside != null) {
			this.standby = null;
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
			this.attempts.ended(attempt.placement(), result);
		}
		catch (RuntimeException | Error ex) {
			logError(ex);
		}
		if (result instanceof AttemptResult.NotRun) {
			connection.noteRefused(this.call.id());
		}
		boolean read = result instanceof AttemptResult.Delivered || result instanceof AttemptResult.Failed
				|| result instanceof AttemptResult.NotRun;
		if (read && attempt.leavesConnectionClean() && !this.cancellation.cancelled()) {
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

	private AttemptResult failure(IOException cause) {
		if (cause instanceof CallerGoneException || this.cancellation.cancelled()) {
			return new AttemptResult.CallerGone();
		}
		return (cause instanceof AttemptEndedException ended) ? ended.result()
				: new AttemptResult.Broken(String.valueOf(cause.getMessage()), Outcome.BROKEN);
	}

	/**
	 * Notes that the upstream with the call has said something, from which its silence
	 * counts.
	 */
	private void noteSpoken() {
		RetryPolicy policy = this.call.route().policy();
		long silenceMillis = policy.streaming() ? STREAM_SILENCE_MILLIS : PLAIN_SILENCE_MILLIS;
		this.askMillis = policy.retryable() ? BootClock.nowMillis() + silenceMillis : Long.MAX_VALUE;
	}

	private long waitMillis(long nowMillis) {
		long leftMillis = Math.max(1, this.call.remainingMillis(nowMillis));
		long turnMillis = (this.standby != null) ? TURN_MILLIS : Math.max(1, this.askMillis - nowMillis);
		return Math.min(leftMillis, turnMillis);
	}

	private long remainingMillis() {
		return Math.max(1, this.call.remainingMillis(BootClock.nowMillis()));
	}

}
