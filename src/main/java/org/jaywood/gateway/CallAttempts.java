package org.jaywood.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.CallRequirements;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.Placement;
import org.jaywood.routing.QueuedCall;
import org.jaywood.routing.RetryPolicy;
import org.jaywood.routing.Workspace;

/**
 * The attempts of one call: places the next one, records the results of those that ended,
 * and whether the call may have run. Confined to the task of the call.
 */
final class CallAttempts {

	/** Upstreams to which a call is sent at most, including those that did not run it. */
	private static final int MAX_TRIED_UPSTREAMS = 6;

	private static final String RETRY_BUDGET = "retry-budget";

	/** Reason of a refusal because parts of the prompt crash engines. */
	static final String BLOCKED_PARTS = "blocked-parts";

	/** Reason of an attempt that was ended before its engine began it. */
	private static final String OLD_VERSION = "not begun, and the engine serves an old version";

	/** Reason why a call is not sent to a second engine. */
	private static final String ENGINE_ENDED = "engine-ended";

	private final GatewayContext context;

	private final Call call;

	private final CallerResponse response;

	private final QueueWait queueWait;

	private final CallScreen screen;

	private final Set<String> triedUpstreams = new HashSet<>();

	/** Upstreams whose attempt was charged to the retry budget. */
	private final Set<String> retriedUpstreams = new HashSet<>();

	private int attemptsSent;

	private boolean mayHaveRun;

	/** Whether an upstream has received the call, even if it refused it. */
	private boolean reachedUpstream;

	/** Whether nothing comes from the VM on which the call was placed. */
	private boolean moved;

	/** Whether the last placement was refused because of parts of the prompt. */
	private boolean blocked;

	private @Nullable BufferedUpstreamResponse failedResponse;

	private String answeringUpstream = "";

	private OptionalLong streamVersion = OptionalLong.empty();

	private boolean metered;

	CallAttempts(GatewayContext context, Call call, CallerResponse response, Cancellation cancellation) {
		this.context = context;
		this.call = call;
		this.response = response;
		this.queueWait = new QueueWait(context.dispatcher(), call, cancellation);
		this.screen = new CallScreen(context.screen(), call);
	}

	/**
	 * Returns whether the call may be sent, in view of the parts of its prompt.
	 */
	CallScreen screen() {
		return this.screen;
	}

	/**
	 * Returns the number of attempts so far that reached an upstream, or may have,
	 * without those that it refused as misdirected.
	 */
	int attemptsSent() {
		return this.attemptsSent;
	}

	/**
	 * Counts the call for the usage of its workspace, once, when an attempt shows that it
	 * has begun to run.
	 */
	void meter(Attempt attempt, long nowMillis) {
		Workspace workspace = this.call.workspace();
		if (!this.metered && workspace != null && attempt.begun()) {
			this.metered = true;
			this.context.meter().record(workspace.name(), nowMillis);
		}
	}

	/**
	 * Whether an upstream may have run the call.
	 */
	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns the last response of an upstream that failed, or null if none did.
	 */
	@Nullable BufferedUpstreamResponse failedResponse() {
		return this.failedResponse;
	}

	/**
	 * Returns the id of the upstream that answered the call, or an empty string.
	 */
	String answeringUpstream() {
		return this.answeringUpstream;
	}

	/**
	 * Returns why {@link #awaitPlacement} returned no placement.
	 */
	String noPlacementReason() {
		return this.blocked ? BLOCKED_PARTS : this.queueWait.refusalReason();
	}

	/**
	 * Waits for a placement of the next attempt.
	 * @return the placement, or null if there is none in time or the caller is gone
	 */
	@Nullable Placement awaitPlacement(long nowMillis) {
		this.blocked = this.screen.blocked() && !(this.attemptsSent == 0 && this.screen.takeTrial());
		return this.blocked ? null : this.queueWait.await(requirements(), this.attemptsSent > 0, nowMillis);
	}

	/**
	 * Charges an attempt to the retry budget if it is a retry, and logs its placement.
	 * @return null if the attempt may be made, or why it may not; then the placement has
	 * been ended
	 */
	@Nullable String tryBegin(Placement placement, long nowMillis) {
		this.context.metrics().recordWait(placement.waitedMillis());
		if (this.screen.blocked()) {
			this.context.dispatcher().recordEnd(placement, Outcome.CANCELLED, nowMillis);
			return BLOCKED_PARTS;
		}
		if (this.reachedUpstream && !tryAcquireRetry(placement, nowMillis)) {
			return RETRY_BUDGET;
		}
		logPlaced(placement, this.attemptsSent + 1);
		return null;
	}

	/**
	 * Places a hedged attempt, if another attempt is allowed and an upstream has free
	 * capacity now.
	 */
	Optional<Placement> placeHedge(Placement silent, long nowMillis) {
		if (!mayHedge(silent)) {
			return Optional.empty();
		}
		Optional<Placement> placement = this.context.dispatcher()
			.placeImmediately(requirements(), nowMillis)
			.filter((found) -> tryAcquireRetry(found, nowMillis));
		placement.ifPresent((found) -> logPlaced(found, this.attemptsSent + 2));
		return placement;
	}

	/**
	 * Queues a hedged attempt of a call whose VM is silent, if another attempt is
	 * allowed. Its retry is taken from the budget.
	 * @return the queued call, or null if no attempt is allowed now
	 */
	@Nullable QueuedCall queueHedge(Placement silent, long nowMillis) {
		this.moved = true;
		return (mayHedge(silent) && this.context.budget(this.call.service()).tryAcquire(nowMillis))
				? this.context.dispatcher().enqueue(requirements(), nowMillis) : null;
	}

	/**
	 * Takes the placement of a queued hedge that has ended its wait.
	 * @return empty if no upstream may run it any more
	 */
	Optional<Placement> takeHedge(QueuedCall queuedCall, long nowMillis) {
		if (queuedCall.placement().isCancelled() || this.screen.blocked()) {
			dequeueHedge(queuedCall, nowMillis);
			return Optional.empty();
		}
		Placement placement = queuedCall.placement().join();
		this.retriedUpstreams.add(placement.upstream().id());
		this.context.metrics().counter("call.moved").inc();
		logPlaced(placement, this.attemptsSent + 2);
		return Optional.of(placement);
	}

	/**
	 * Ends the wait of a queued hedge, which is not sent.
	 */
	void dequeueHedge(QueuedCall queuedCall, long nowMillis) {
		Placement placement = this.queueWait.end(queuedCall);
		if (placement != null) {
			this.context.dispatcher().recordEnd(placement, Outcome.CANCELLED, nowMillis);
		}
		this.context.budget(this.call.service()).refund();
	}

	private boolean mayHedge(Placement silent) {
		this.triedUpstreams.add(silent.upstream().id());
		pinStreamVersion(silent);
		return !this.screen.blocked() && !this.screen.trial() && this.attemptsSent + 1 < this.call.route().maxAttempts()
				&& this.triedUpstreams.size() <= MAX_TRIED_UPSTREAMS;
	}

	private boolean tryAcquireRetry(Placement placement, long nowMillis) {
		if (this.context.budget(this.call.service()).tryAcquire(nowMillis)) {
			this.retriedUpstreams.add(placement.upstream().id());
			return true;
		}
		this.context.dispatcher().recordEnd(placement, Outcome.CANCELLED, nowMillis);
		return false;
	}

	/**
	 * Returns the only version of the weights that may run the next attempt, or empty for
	 * any.
	 */
	OptionalLong requiredVersion(long nowMillis) {
		return this.streamVersion.isPresent() ? this.streamVersion
				: this.context.dispatcher().requiredVersion(this.call.service(), nowMillis);
	}

	/**
	 * Checks that an engine does not begin the call on a version that is too old by now.
	 * @throws AttemptEndedException if the attempt has to be ended
	 */
	void requireTimelyBegin(Attempt attempt, long nowMillis) throws AttemptEndedException {
		if (!attempt.hasResponse()
				&& this.context.dispatcher().beginsTooLate(attempt.placement().upstream(), nowMillis)) {
			throw new AttemptEndedException(new AttemptResult.Indeterminate(OLD_VERSION, Outcome.CANCELLED));
		}
	}

	/**
	 * Records the result of an attempt and ends its placement.
	 * @param progress what it has received of its answer
	 */
	void onEnded(Placement placement, AttemptResult result, AttemptProgress progress) {
		String upstream = placement.upstream().id();
		this.context.dispatcher().recordEnd(placement, outcome(result), BootClock.nowMillis());
		this.triedUpstreams.add(upstream);
		switch (result) {
			case AttemptResult.Delivered delivered -> this.answeringUpstream = upstream;
			case AttemptResult.CallerGone gone -> {
			}
			case AttemptResult.NotRun notRun -> {
				this.attemptsSent += (notRun.sent() && notRun.outcome() != Outcome.MISDIRECTED) ? 1 : 0;
				this.reachedUpstream |= notRun.sent();
				if (!notRun.sent() && this.retriedUpstreams.remove(upstream)) {
					this.context.budget(this.call.service()).refund();
				}
				logFailed(upstream, notRun.reason(), progress);
			}
			case AttemptResult.Failed failed -> {
				this.failedResponse = failed.response();
				onMayHaveRun(upstream, "status " + failed.response().head().getCode(), progress);
			}
			case AttemptResult.Indeterminate indeterminate -> {
				pinStreamVersion(placement);
				this.screen.onIndeterminate(placement, indeterminate.outcome(), progress);
				onMayHaveRun(upstream, indeterminate.reason(), progress);
			}
			case AttemptResult.Superseded superseded -> onMayHaveRun(upstream, "another upstream answered", progress);
		}
	}

	private void onMayHaveRun(String upstream, String reason, AttemptProgress progress) {
		this.attemptsSent++;
		this.reachedUpstream = true;
		this.mayHaveRun = true;
		logFailed(upstream, reason, progress);
	}

	private static Outcome outcome(AttemptResult result) {
		return switch (result) {
			case AttemptResult.Delivered delivered -> Outcome.ANSWERED;
			case AttemptResult.Failed failed -> Outcome.FAILED;
			case AttemptResult.NotRun notRun -> notRun.outcome();
			case AttemptResult.Indeterminate indeterminate -> indeterminate.outcome();
			case AttemptResult.CallerGone gone -> Outcome.CANCELLED;
			case AttemptResult.Superseded superseded -> Outcome.CANCELLED;
		};
	}

	private void pinStreamVersion(Placement placement) {
		if (this.response.committed()) {
			this.streamVersion = placement.upstream()
				.loaded()
				.map((weights) -> OptionalLong.of(weights.version()))
				.orElse(OptionalLong.empty());
		}
	}

	/**
	 * Returns why the call may not be sent again, or null if it may.
	 */
	@Nullable String noRetryReason(long nowMillis) {
		RetryPolicy policy = this.call.route().policy();
		if (this.mayHaveRun && !policy.retryable()) {
			return "not-repeatable";
		}
		if (this.response.committed() && policy != RetryPolicy.RESUMABLE_STREAM) {
			return "not-resumable";
		}
		if (this.call.remainingMillis(nowMillis) <= 0) {
			return this.call.deadline().limit().reason();
		}
		if (this.attemptsSent >= (this.screen.trial() ? 1 : this.call.route().maxAttempts())) {
			return "attempts";
		}
		if (this.triedUpstreams.size() > MAX_TRIED_UPSTREAMS) {
			return "tries";
		}
		return this.screen.mayRetry(nowMillis) ? null : ENGINE_ENDED;
	}

	/**
	 * Returns what the next attempt requires of an upstream.
	 */
	CallRequirements requirements() {
		Workspace workspace = this.call.workspace();
		return new CallRequirements(this.call.id(), this.call.service(), this.call.regions(),
				(workspace != null) ? workspace.name() : "", this.call.priority(), queueClass(),
				this.call.route().policy().streaming(), this.call.cost(), this.streamVersion,
				Set.copyOf(this.triedUpstreams));
	}

	private CallRequirements.QueueClass queueClass() {
		if (this.response.committed()) {
			return CallRequirements.QueueClass.STARTED;
		}
		if (this.moved) {
			return CallRequirements.QueueClass.MOVED;
		}
		return this.call.queueClass();
	}

	/**
	 * Returns the time in milliseconds after which the call is likely to be placed if it
	 * is refused now.
	 */
	long retryAfterMillis(long nowMillis) {
		return this.screen.retryAfterMillis(nowMillis)
			.orElseGet(() -> this.context.dispatcher()
				.retryAfterMillis(requirements(), this.call.remainingMillis(nowMillis), nowMillis));
	}

	private void logPlaced(Placement placement, int attempt) {
		CallRequirements placed = placement.requirements();
		this.context.metrics().recordPlaced(placed.workspace(), placed.priority());
		this.context.metrics()
			.recordSpillover(placement, this.context.settings().dispatch().dataCentre(),
					this.call.request().body().length);
		this.context.log()
			.log(Event.CALL_PLACED, "request", this.call.id(), "route", this.call.route().name(), "upstream",
					placement.upstream().id(), "load", placement.load(), "capacity", placement.capacity(), "reportAge",
					placement.reportAgeMillis(), "waited", placement.waitedMillis(), "expectedFirst",
					placement.activity().expectedFirstMillis(), "spillover", placement.spillover(), "attempt", attempt,
					"moved", this.moved, "workspace", placed.workspace(), "priority", placed.priority(),
					"configuration", this.call.tableVersion());
	}

	private void logFailed(String upstream, String reason, AttemptProgress progress) {
		this.context.metrics().counter("call.hand_over_failed").inc();
		this.context.log()
			.log(Event.HAND_OVER_FAILED, "request", this.call.id(), "upstream", upstream, "reason", reason, "sends",
					this.attemptsSent, "received", progress.describe(), "parts", this.call.sharedParts());
	}

}
