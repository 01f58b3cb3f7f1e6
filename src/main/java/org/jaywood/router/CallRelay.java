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
 * Takes a call to its end: hands it over, tries others after refusals within the retry
 * budget and the deadline, and finds out what became of a broken hand-over. It says "not
 * run" only if no upstream ran the call and none will.
 */
final class CallRelay implements CallExecutor {

	/** Pauses between two fences while the call runs. */
	private static final long FIRST_POLL_MILLIS = 20;

	private static final long MAX_POLL_MILLIS = 500;

	/**
	 * Time left below which a call that found its upstreams full is not handed over
	 * again: a reply could come too late, and the outcome would be unknown.
	 */
	private static final long LEAST_ATTEMPT_MILLIS = 100;

	/** Part of the remaining time kept for fencing a hand-over that gets no reply. */
	private static final long FENCE_RESERVE_MILLIS = 1_000;

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

	private final ConfigurationHolder configuration;

	private final UpstreamSelector chooser;

	private final UpstreamTable table;

	private final AgentClient agents;

	private final RetryBudget retries;

	private final FairScheduler shares;

	private final ByteRateLimiter regionBudget;

	private final Watchdog watchdog;

	private final RouterLimits limits;

	private final RouterMetrics metrics;

	private final LongSupplier clock;

	CallRelay(ConfigurationHolder configuration, UpstreamSelector chooser, UpstreamTable table, AgentClient agents,
			RetryBudget retries, FairScheduler shares, ByteRateLimiter regionBudget, Watchdog watchdog,
			RouterLimits limits, RouterMetrics metrics, LongSupplier clock) {
		this.configuration = configuration;
		this.chooser = chooser;
		this.table = table;
		this.agents = agents;
		this.retries = retries;
		this.shares = shares;
		this.regionBudget = regionBudget;
		this.watchdog = watchdog;
		this.limits = limits;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Runs a call.
	 * @param call the call
	 * @param sink takes the answer
	 * @param listener called before each hand-over
	 * @return what became of it; the sink has the whole answer if it was answered
	 * @throws CallerGoneException if the sink cannot take the answer
	 */
	@Override
	public CallResult run(Call call, AnswerSink sink, Listener listener) throws InterruptedException {
		this.retries.recordCall();
		try (FairScheduler.Permit turn = this.shares.open(call, this.configuration.deployment())) {
			return run(call, new AnswerAssembler(sink, this.metrics.droppedFrames()), listener, turn);
		}
	}

	private CallResult run(Call call, AnswerAssembler answer, Listener listener, FairScheduler.Permit turn)
			throws InterruptedException {
		Set<Address> excluded = new HashSet<>();
		CallResult last = new CallResult.NotRun("NO_UPSTREAM", DEFAULT_RETRY_AFTER_MILLIS);
		long waitUntilMillis = waitUntilMillis(call);
		// The first hand-over and one after a wait are paced by the queue.
		boolean retry = false;
		boolean busy = !turn.running();
		while (call.remainingMillis(this.clock.getAsLong()) > (busy ? LEAST_ATTEMPT_MILLIS : 0)) {
			long nowMillis = this.clock.getAsLong();
			Optional<VmRecord> agent = this.chooser.choose(call, this.configuration.current(), excluded, nowMillis);
			if (!turn.running() || agent.isEmpty() || (retry && !this.retries.tryAcquire(nowMillis))) {
				boolean wait = agent.isEmpty()
						? this.chooser.mayRegainCapacity(call, this.configuration.current(), excluded, nowMillis)
						: busy;
				if (!wait) {
					return last;
				}
				this.metrics.waits().mark();
				if (!turn.await(waitUntilMillis)) {
					return full(last, turn);
				}
				retry = false;
				continue;
			}
			if (retry) {
				this.metrics.retries().mark();
			}
			Step step = attempt(agent.get(), call, answer, listener, turn);
			if (!step.another()) {
				return (busy && late(step.result())) ? full(last, turn) : step.result();
			}
			if (step.exclude()) {
				excluded.add(agent.get().address());
			}
			busy = step.busy();
			waitUntilMillis = busy ? waitUntilMillis : waitUntilMillis(call);
			retry = true;
			last = combine(last, step.result());
		}
		return busy ? full(last, turn) : ended(last, RefusalReason.DEADLINE.name());
	}

	/**
	 * Whether the agent refused a call because its deadline had passed on the way.
	 */
	private static boolean late(CallResult result) {
		return result instanceof CallResult.NotRun notRun && notRun.reason().equals(RefusalReason.DEADLINE.name());
	}

	private long waitUntilMillis(Call call) {
		return Math.min(call.deadlineMillis(), this.clock.getAsLong() + this.limits.maxQueueMillis());
	}

	/**
	 * Result of a call that found no room in time.
	 */
	private static CallResult full(CallResult last, FairScheduler.Permit turn) {
		return switch (last) {
			case CallResult.NotRun notRun when notRun.reason().equals(RefusalReason.NOT_READY.name()) -> notRun;
			case CallResult.NotRun notRun -> new CallResult.NotRun(RefusalReason.FULL.name(), turn.retryAfterMillis());
			default -> last;
		};
	}

	@Override
	public FenceReply fence(CallAttempt handOver, long timeoutMillis) throws IOException, InterruptedException {
		this.metrics.fences().mark();
		return this.agents.fence(handOver, timeoutMillis);
	}

	/**
	 * A call that may have run stays unknown, whatever later tries say.
	 */
	private static CallResult combine(CallResult before, CallResult now) {
		return (before instanceof CallResult.Unknown) ? before : now;
	}

	private static CallResult ended(CallResult last, String reason) {
		return (last instanceof CallResult.Unknown) ? last : new CallResult.NotRun(reason, DEFAULT_RETRY_AFTER_MILLIS);
	}

	private Step attempt(VmRecord agent, Call call, AnswerAssembler answer, Listener listener,
			FairScheduler.Permit turn) throws InterruptedException {
		long remainingMillis = call.remainingMillis(this.clock.getAsLong());
		long reserveMillis = call.repeatable() ? 0 : Math.min(FENCE_RESERVE_MILLIS, remainingMillis / 4);
		this.table.begin(agent.address());
		try {
			CallAttempt.Reply reply = this.agents.handOver(agent, call, answer,
					Math.max(1, remainingMillis - reserveMillis), listener);
			return switch (reply) {
				case CallAttempt.Reply.Admitted admitted -> {
					turn.admitted();
					yield relay(admitted, call, answer, reserveMillis);
				}
				case CallAttempt.Reply.Refused refused -> refused(refused.refusal());
				case CallAttempt.Reply.NotSent unreached -> {
					this.table.onNotSent(agent.address(), this.clock.getAsLong());
					yield Step.tryAnother(new CallResult.NotRun("UNREACHABLE", DEFAULT_RETRY_AFTER_MILLIS));
				}
				case CallAttempt.Reply.Indeterminate broken -> broken(broken.handOver(), call, answer, broken.reason());
			};
		}
		finally {
			this.table.end(agent.address());
		}
	}

	private static Step refused(Refusal refusal) {
		CallResult result = new CallResult.NotRun(refusal.refusal().name(), refusal.retryAfterMillis());
		return switch (refusal.refusal()) {
			// The same agent may admit a hand-over with its present incarnation and
			// number.
			case OTHER_INCARNATION, FENCED -> new Step(result, true, false, false);
			case FULL, COLD_FULL, MEMORY_FULL, NOT_READY -> new Step(result, true, false, true);
			case DEADLINE -> Step.end(result);
			default -> Step.tryAnother(result);
		};
	}

	private Step relay(CallAttempt.Reply.Admitted admitted, Call call, AnswerAssembler answer, long reserveMillis)
			throws InterruptedException {
		FrameReader frames = admitted.frames();
		boolean ended = false;
		try (Watchdog.Guard deadline = this.watchdog.after(call.remainingMillis(this.clock.getAsLong()) - reserveMillis,
				frames::close); Watchdog.Guard silence = watchSilence(frames, call)) {
			answer.read(frames, call.model());
			ended = true;
			this.table.onAnswered(admitted.handOver().agent().address());
			return Step.end(new CallResult.Answered());
		}
		catch (AnswerAssembler.AnswerTooLargeException ex) {
			return Step.end(new CallResult.Unknown("ANSWER_TOO_LARGE"));
		}
		catch (AnswerAssembler.AnswerMismatchException ex) {
			return call.model() ? Step.end(new CallResult.Unknown("ANSWER_MISMATCH"))
					: broken(admitted.handOver(), call, answer, ex.toString());
		}
		catch (IOException ex) {
			return broken(admitted.handOver(), call, answer, ex.toString());
		}
		finally {
			frames.close();
			this.table.onCapacityFreed(admitted.handOver().agent().address());
			if (!ended && call.model()) {
				this.agents.cancel(admitted.handOver());
			}
			if (this.chooser.crossesRegions(admitted.handOver().agent())) {
				this.regionBudget.spend(call.body().length + frames.totalBytes());
			}
		}
	}

	private Watchdog.Guard watchSilence(FrameReader frames, Call call) {
		// A plain service answers in one piece, so only its deadline counts.
		long limitMillis = this.limits.frameIdleMillis();
		return call.model() ? this.watchdog.every(Math.max(1, limitMillis / 4),
				() -> frames.closeIfSilent(limitMillis, System.nanoTime())) : () -> {
				};
	}

	private Step broken(CallAttempt handOver, Call call, AnswerAssembler answer, String reason)
			throws InterruptedException {
		this.table.onIndeterminate(handOver.agent().address(), this.clock.getAsLong());
		if (call.repeatable()) {
			if (answer.nextIndex() > 0) {
				this.metrics.resumes().mark();
			}
			return Step.tryAnother(new CallResult.Unknown("BROKEN"));
		}
		this.metrics.fences().mark();
		long pauseMillis = FIRST_POLL_MILLIS;
		while (call.remainingMillis(this.clock.getAsLong()) > 0) {
			Step step = fence(handOver, call, answer);
			if (step != null) {
				return step;
			}
			TimeUnit.MILLISECONDS.sleep(Math.clamp(call.remainingMillis(this.clock.getAsLong()), 0, pauseMillis));
			pauseMillis = Math.min(MAX_POLL_MILLIS, 2 * pauseMillis);
		}
		return Step.end(new CallResult.Unknown("BROKEN"));
	}

	/**
	 * Fences once.
	 * @return the next step, or null to ask again
	 */
	private @Nullable Step fence(CallAttempt handOver, Call call, AnswerAssembler answer) throws InterruptedException {
		try {
			FenceReply reply = this.agents.fence(handOver, call.remainingMillis(this.clock.getAsLong()));
			return switch (reply.state()) {
				case NEVER_ADMITTED ->
					Step.tryAnother(new CallResult.NotRun("UNREACHABLE", DEFAULT_RETRY_AFTER_MILLIS));
				case FINISHED -> finished(reply, answer);
				case RUNNING -> null;
				case FORGOTTEN, OTHER_INCARNATION -> Step.end(new CallResult.Unknown(reply.state().name()));
				case null -> Step.end(new CallResult.Unknown("BROKEN"));
			};
		}
		catch (IOException ex) {
			return null;
		}
	}

	private static Step finished(FenceReply reply, AnswerAssembler answer) {
		if (reply.head() == null) {
			return Step.end(new CallResult.Unknown("FINISHED_NOT_KEPT"));
		}
		answer.deliver(reply.head(), (reply.body() != null) ? reply.body() : new byte[0]);
		return Step.end(new CallResult.Answered());
	}

	/**
	 * What follows an attempt.
	 *
	 * @param result what is known of the call now
	 * @param another whether another agent may be tried
	 * @param exclude whether the same agent must not be tried again
	 * @param busy whether the agent will admit the call once its upstream has room
	 */
	private record Step(CallResult result, boolean another, boolean exclude, boolean busy) {

		static Step end(CallResult result) {
			return new Step(result, false, false, false);
		}

		static Step tryAnother(CallResult result) {
			return new Step(result, true, true, false);
		}

	}

}
