package org.jaywood.router;

import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.config.ConfigurationHolder;
import org.jaywood.routing.RetryBudget;
import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;
import org.jaywood.wire.FenceReply;
import org.jaywood.wire.Refusal;
import org.jaywood.wire.RefusalReason;

/**
 * Runs a call until its result is known: sends it to an agent, retries it at other agents
 * after refusals within the retry budget and the deadline, and determines by fencing what
 * became of an indeterminate attempt. It reports "not run" only if no upstream ran the
 * call and none will.
 */
final class CallRelay implements CallExecutor {

	/** Pause after the first fence that finds the call running; it doubles each time. */
	private static final long FIRST_FENCE_PAUSE_MILLIS = 20;

	private static final long MAX_FENCE_PAUSE_MILLIS = 500;

	/**
	 * Remaining time below which a call whose upstreams are full is not sent again: the
	 * response could come too late, and the outcome would be unknown.
	 */
	private static final long MIN_ATTEMPT_MILLIS = 100;

	/**
	 * Longest time reserved for fencing an attempt that gets no response; less than this
	 * if a quarter of the remaining time is less.
	 */
	private static final long MAX_FENCE_RESERVE_MILLIS = 1_000;

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

	private final ConfigurationHolder configuration;

	private final UpstreamSelector selector;

	private final UpstreamTable upstreams;

	private final AgentClient agents;

	private final RetryBudget retryBudget;

	private final FairScheduler scheduler;

	private final ByteRateLimiter regionRateLimiter;

	private final Watchdog watchdog;

	private final RouterLimits limits;

	private final RouterMetrics metrics;

	private final LongSupplier clock;

	CallRelay(ConfigurationHolder configuration, UpstreamSelector selector, UpstreamTable upstreams, AgentClient agents,
			RetryBudget retryBudget, FairScheduler scheduler, ByteRateLimiter regionRateLimiter, Watchdog watchdog,
			RouterLimits limits, RouterMetrics metrics, LongSupplier clock) {
		this.configuration = configuration;
		this.selector = selector;
		this.upstreams = upstreams;
		this.agents = agents;
		this.retryBudget = retryBudget;
		this.scheduler = scheduler;
		this.regionRateLimiter = regionRateLimiter;
		this.watchdog = watchdog;
		this.limits = limits;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Runs a call.
	 * @param call the call
	 * @param sink takes the answer
	 * @param listener called before each attempt
	 * @return the result of the call; the sink has the complete answer if the call was
	 * answered
	 * @throws CallerGoneException if the sink cannot take the answer
	 */
	@Override
	public CallResult run(Call call, AnswerSink sink, Listener listener) throws InterruptedException {
		this.retryBudget.recordCall();
		try (FairScheduler.Permit permit = this.scheduler.register(call, this.configuration.deployment())) {
			return run(call, new AnswerAssembler(sink, this.metrics.droppedFrames()), listener, permit);
		}
	}

	private CallResult run(Call call, AnswerAssembler assembler, Listener listener, FairScheduler.Permit permit)
			throws InterruptedException {
		Set<Address> excluded = new HashSet<>();
		CallResult lastResult = new CallResult.NotRun("NO_UPSTREAM", DEFAULT_RETRY_AFTER_MILLIS);
		long queueDeadlineMillis = queueDeadlineMillis(call);
		// Only retries take from the retry budget. A first attempt, or one after a wait
		// in
		// the queue, does not, since the queue limits the rate of these.
		boolean retry = false;
		boolean waitingForCapacity = !permit.isGranted();
		while (call.remainingMillis(this.clock.getAsLong()) > (waitingForCapacity ? MIN_ATTEMPT_MILLIS : 0)) {
			long nowMillis = this.clock.getAsLong();
			Optional<VmRecord> agent = this.selector.choose(call, this.configuration.current(), excluded, nowMillis);
			if (!permit.isGranted() || agent.isEmpty() || (retry && !this.retryBudget.tryAcquire(nowMillis))) {
				boolean mayWait = agent.isEmpty()
						? this.selector.mayRegainCapacity(call, this.configuration.current(), excluded, nowMillis)
						: waitingForCapacity;
				if (!mayWait) {
					return lastResult;
				}
				this.metrics.waits().mark();
				if (!permit.await(queueDeadlineMillis)) {
					return capacityRefusal(lastResult, permit);
				}
				retry = false;
				continue;
			}
			if (retry) {
				this.metrics.retries().mark();
			}
			NextAction next = attempt(agent.get(), call, assembler, listener, permit, Set.copyOf(excluded));
			if (!next.retry()) {
				return (waitingForCapacity && isDeadlineRefusal(next.result())) ? capacityRefusal(lastResult, permit)
						: next.result();
			}
			if (next.excludeAgent()) {
				excluded.add(agent.get().address());
			}
			waitingForCapacity = next.lackedCapacity();
			queueDeadlineMillis = waitingForCapacity ? queueDeadlineMillis : queueDeadlineMillis(call);
			retry = true;
			lastResult = combine(lastResult, next.result());
		}
		return waitingForCapacity ? capacityRefusal(lastResult, permit)
				: notRunUnlessUnknown(lastResult, RefusalReason.DEADLINE.name());
	}

	/**
	 * Whether the agent refused a call because its deadline had passed in transit.
	 */
	private static boolean isDeadlineRefusal(CallResult result) {
		return result instanceof CallResult.NotRun notRun && notRun.reason().equals(RefusalReason.DEADLINE.name());
	}

	private long queueDeadlineMillis(Call call) {
		return Math.min(call.deadlineMillis(), this.clock.getAsLong() + this.limits.maxQueueMillis());
	}

	/**
	 * Returns the result of a call for which no upstream had capacity in time.
	 */
	private static CallResult capacityRefusal(CallResult lastResult, FairScheduler.Permit permit) {
		return switch (lastResult) {
			case CallResult.NotRun notRun when notRun.reason().equals(RefusalReason.NOT_READY.name()) -> notRun;
			case CallResult.NotRun notRun ->
				new CallResult.NotRun(RefusalReason.FULL.name(), permit.retryAfterMillis());
			default -> lastResult;
		};
	}

	@Override
	public FenceReply fence(CallAttempt attempt, long timeoutMillis) throws IOException, InterruptedException {
		this.metrics.fences().mark();
		return this.agents.fence(attempt, timeoutMillis);
	}

	/**
	 * Combines the results of two attempts. If an earlier attempt may have run the call,
	 * the result remains Unknown whatever later attempts return.
	 */
	private static CallResult combine(CallResult previous, CallResult latest) {
		return (previous instanceof CallResult.Unknown) ? previous : latest;
	}

	private static CallResult notRunUnlessUnknown(CallResult lastResult, String reason) {
		return (lastResult instanceof CallResult.Unknown) ? lastResult
				: new CallResult.NotRun(reason, DEFAULT_RETRY_AFTER_MILLIS);
	}

	private NextAction attempt(VmRecord agent, Call call, AnswerAssembler assembler, Listener listener,
			FairScheduler.Permit permit, Set<Address> excluded) throws InterruptedException {
		long remainingMillis = call.remainingMillis(this.clock.getAsLong());
		long reserveMillis = call.retryable() ? 0 : Math.min(MAX_FENCE_RESERVE_MILLIS, remainingMillis / 4);
		this.upstreams.onAttemptStarted(agent.address());
		try {
			CallAttempt.SendResult sendResult = this.agents.send(agent, call, assembler,
					Math.max(1, remainingMillis - reserveMillis), listener);
			return switch (sendResult) {
				case CallAttempt.SendResult.Admitted admitted -> {
					permit.markAdmitted();
					yield relayAnswer(admitted, call, assembler, reserveMillis, excluded);
				}
				case CallAttempt.SendResult.Refused refused -> onRefused(refused.refusal());
				case CallAttempt.SendResult.NotSent notSent -> {
					this.upstreams.onNotSent(agent.address(), this.clock.getAsLong());
					yield NextAction.tryAnother(new CallResult.NotRun("UNREACHABLE", DEFAULT_RETRY_AFTER_MILLIS));
				}
				case CallAttempt.SendResult.Indeterminate indeterminate ->
					onIndeterminate(indeterminate.attempt(), call, assembler, indeterminate.reason());
			};
		}
		finally {
			this.upstreams.onAttemptEnded(agent.address());
		}
	}

	private static NextAction onRefused(Refusal refusal) {
		CallResult result = new CallResult.NotRun(refusal.refusal().name(), refusal.retryAfterMillis());
		return switch (refusal.refusal()) {
			// The same agent may admit an attempt with its current incarnation and a new
			// number.
			case OTHER_INCARNATION, FENCED -> new NextAction(result, true, false, false);
			case FULL, COLD_FULL, MEMORY_FULL, NOT_READY -> new NextAction(result, true, false, true);
			case DEADLINE -> NextAction.end(result);
			default -> NextAction.tryAnother(result);
		};
	}

	private NextAction relayAnswer(CallAttempt.SendResult.Admitted admitted, Call call, AnswerAssembler assembler,
			long reserveMillis, Set<Address> excluded) throws InterruptedException {
		FrameReader frames = admitted.frames();
		boolean complete = false;
		try (Watchdog.Guard deadline = this.watchdog
			.runAfter(call.remainingMillis(this.clock.getAsLong()) - reserveMillis, frames::close);
				Watchdog.Guard idleGuard = closeWhenIdle(admitted, call, excluded)) {
			assembler.read(frames, call.model());
			complete = true;
			this.upstreams.onAnswered(admitted.attempt().agent().address());
			return NextAction.end(new CallResult.Answered());
		}
		catch (AnswerAssembler.AnswerTooLargeException ex) {
			return NextAction.end(new CallResult.Unknown("ANSWER_TOO_LARGE"));
		}
		catch (AnswerAssembler.AnswerMismatchException ex) {
			return call.model() ? NextAction.end(new CallResult.Unknown("ANSWER_MISMATCH"))
					: onIndeterminate(admitted.attempt(), call, assembler, ex.toString());
		}
		catch (IOException ex) {
			return onIndeterminate(admitted.attempt(), call, assembler, ex.toString());
		}
		finally {
			frames.close();
			this.upstreams.onCapacityFreed(admitted.attempt().agent().address());
			if (!complete && call.model()) {
				this.agents.cancel(admitted.attempt());
			}
			if (this.selector.crossesRegions(admitted.attempt().agent())) {
				this.regionRateLimiter.consume(call.body().length + frames.totalBytes());
			}
		}
	}

	/**
	 * Closes a stream that has been silent for long, unless no other agent can take its
	 * call: a silent engine may be sound and go on.
	 */
	private Watchdog.Guard closeWhenIdle(CallAttempt.SendResult.Admitted admitted, Call call, Set<Address> excluded) {
		// The agent sends the answer of a plain service only when it is complete, so no
		// bytes arrive before that and only the deadline applies.
		if (!call.model()) {
			return () -> {
			};
		}
		long idleLimitMillis = this.limits.frameIdleMillis();
		Set<Address> others = new HashSet<>(excluded);
		others.add(admitted.attempt().agent().address());
		return this.watchdog.runEvery(Math.max(1, idleLimitMillis / 4), () -> {
			if (!call.retryable() || canRunElsewhere(call, others)) {
				admitted.frames().closeIfIdle(idleLimitMillis, System.nanoTime());
			}
		});
	}

	private boolean canRunElsewhere(Call call, Set<Address> excluded) {
		return this.selector.choose(call, this.configuration.current(), excluded, this.clock.getAsLong()).isPresent();
	}

	private NextAction onIndeterminate(CallAttempt attempt, Call call, AnswerAssembler assembler, String reason)
			throws InterruptedException {
		this.upstreams.onIndeterminate(attempt.agent().address(), this.clock.getAsLong());
		if (call.retryable()) {
			if (assembler.nextIndex() > 0) {
				this.metrics.resumes().mark();
			}
			return NextAction.tryAnother(new CallResult.Unknown("BROKEN"));
		}
		this.metrics.fences().mark();
		long pauseMillis = FIRST_FENCE_PAUSE_MILLIS;
		while (call.remainingMillis(this.clock.getAsLong()) > 0) {
			NextAction next = fence(attempt, call, assembler);
			if (next != null) {
				return next;
			}
			TimeUnit.MILLISECONDS.sleep(Math.clamp(call.remainingMillis(this.clock.getAsLong()), 0, pauseMillis));
			pauseMillis = Math.min(MAX_FENCE_PAUSE_MILLIS, 2 * pauseMillis);
		}
		return NextAction.end(new CallResult.Unknown("BROKEN"));
	}

	/**
	 * Fences an attempt once.
	 * @return the next action, or null if the attempt must be fenced again
	 */
	private @Nullable NextAction fence(CallAttempt attempt, Call call, AnswerAssembler assembler)
			throws InterruptedException {
		try {
			FenceReply reply = this.agents.fence(attempt, call.remainingMillis(this.clock.getAsLong()));
			return switch (reply.state()) {
				case NEVER_ADMITTED ->
					NextAction.tryAnother(new CallResult.NotRun("UNREACHABLE", DEFAULT_RETRY_AFTER_MILLIS));
				case FINISHED -> onFinished(reply, assembler);
				case RUNNING -> null;
				case FORGOTTEN, OTHER_INCARNATION -> NextAction.end(new CallResult.Unknown(reply.state().name()));
				case null -> NextAction.end(new CallResult.Unknown("BROKEN"));
			};
		}
		catch (IOException ex) {
			return null;
		}
	}

	private static NextAction onFinished(FenceReply reply, AnswerAssembler assembler) {
		if (reply.head() == null) {
			return NextAction.end(new CallResult.Unknown("FINISHED_NOT_KEPT"));
		}
		assembler.deliverStored(reply.head(), (reply.body() != null) ? reply.body() : new byte[0]);
		return NextAction.end(new CallResult.Answered());
	}

	/**
	 * What to do after an attempt.
	 *
	 * @param result result of the call according to this attempt
	 * @param retry whether the call may be sent again
	 * @param excludeAgent whether the call must not be sent to the same agent again
	 * @param lackedCapacity whether the agent refused the call for lack of capacity, so
	 * that the call may wait for it
	 */
	private record NextAction(CallResult result, boolean retry, boolean excludeAgent, boolean lackedCapacity) {

		static NextAction end(CallResult result) {
			return new NextAction(result, false, false, false);
		}

		static NextAction tryAnother(CallResult result) {
			return new NextAction(result, true, true, false);
		}

	}

}
