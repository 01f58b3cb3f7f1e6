package org.jaywood.routing;

import java.util.OptionalInt;
import java.util.function.ToDoubleFunction;

import org.jspecify.annotations.Nullable;

/**
 * State of one incarnation of an upstream as known to one gateway: its entry, its latest
 * report, the calls of this gateway that it holds and their results. Guarded by the lock
 * of its {@link Dispatcher}.
 */
final class UpstreamState {

	/**
	 * Lifetime of a report; without one, the load is extrapolated from the calls of this
	 * gateway.
	 */
	private static final long REPORT_LIFETIME_MILLIS = 900;

	/**
	 * Age of a report from which its agent or the path from there is slow; slightly more
	 * than the longest interval between reports.
	 */
	private static final long TIMELY_REPORT_AGE_MILLIS = 650;

	/**
	 * Delay of a report from which the queue on the path would noticeably delay calls.
	 */
	private static final long TIMELY_REPORT_DELAY_MILLIS = 250;

	/**
	 * Time without a sign of a VM after which it is silent. Agents report more often, and
	 * so does each attempt that runs.
	 */
	private static final long VM_SILENCE_MILLIS = 650;

	private static final long NEVER_MILLIS = Long.MIN_VALUE;

	/** Lifetime of the number of gateways that an agent reported. */
	private static final long GATEWAYS_LIFETIME_MILLIS = 3_000;

	/**
	 * Time for which the path to an engine counts as slow after calls on it were
	 * undelivered. Calls that are abandoned in the meantime no longer reveal it.
	 */
	private static final long SLOW_PATH_MILLIS = 2_000;

	/**
	 * Time for which a number of gateways that an agent reported stays in use after it
	 * falls: gateways that have lost the connection to the agent still send calls.
	 */
	private static final long GATEWAYS_RETENTION_MILLIS = 5_000;

	/**
	 * Time after the first report of an incarnation in which the other gateways find its
	 * agent, learn of each other, and have no more calls in the window of the limit that
	 * they sent before.
	 */
	static final long SETTLING_MILLIS = 3_000;

	private final UpstreamHealth health = new UpstreamHealth();

	private final SendRate sendRate = new SendRate();

	private final ReportDelay reportDelay = new ReportDelay();

	private final InTransitCalls inTransitCalls = new InTransitCalls();

	private final FreeShare freeShare = new FreeShare();

	private final UpstreamActivity activity = new UpstreamActivity();

	private long slowPathUntilMillis = Long.MIN_VALUE;

	/**
	 * Time at which calls on the path were last found undelivered, or a report came late.
	 */
	private long pathDoubtedMillis = NEVER_MILLIS;

	private Upstream upstream;

	private final boolean startedCold;

	private long coldUntilMillis;

	private long expiryMillis = Long.MAX_VALUE;

	private int inFlight;

	private @Nullable UpstreamReport report;

	private long reportedMillis;

	private long firstReportedMillis = Long.MAX_VALUE;

	private final RecentMax recentGateways = new RecentMax(GATEWAYS_RETENTION_MILLIS);

	private int inFlightAtReport;

	private AgentContact agentContact = AgentContact.NONE;

	private boolean subscribed;

	UpstreamState(Upstream upstream, long nowMillis) {
		this.upstream = upstream;
		this.startedCold = upstream.coldMillis() > 0;
		this.coldUntilMillis = nowMillis + upstream.coldMillis();
	}

	Upstream upstream() {
		return this.upstream;
	}

	UpstreamHealth health() {
		return this.health;
	}

	void update(Upstream entry, long nowMillis) {
		if (!entry.equals(this.upstream)) {
			this.coldUntilMillis = nowMillis + entry.coldMillis();
		}
		this.upstream = entry;
		this.expiryMillis = Long.MAX_VALUE;
	}

	/**
	 * Keeps the entry until a deadline at most. It may be missing only because of a store
	 * outage.
	 */
	void expireAt(long deadlineMillis) {
		this.expiryMillis = Math.min(this.expiryMillis, deadlineMillis);
	}

	boolean present(long nowMillis) {
		return nowMillis < this.expiryMillis;
	}

	boolean cold(long nowMillis) {
		return nowMillis < this.coldUntilMillis;
	}

	void onReport(UpstreamReport latest, long nowMillis) {
		this.report = latest;
		this.reportedMillis = nowMillis;
		this.firstReportedMillis = Math.min(this.firstReportedMillis, nowMillis);
		this.recentGateways.record(Math.max(1, latest.gateways()), nowMillis);
		this.inFlightAtReport = this.inFlight;
		this.agentContact = AgentContact.CONNECTED;
		this.freeShare.onReport(latest.load(), latest.gateways(), nowMillis);
		if (latest.reachable() && this.inTransitCalls.hasUndelivered(latest.load(), nowMillis)) {
			this.slowPathUntilMillis = nowMillis + SLOW_PATH_MILLIS;
			this.pathDoubtedMillis = nowMillis;
		}
	}

	void onReportDelay(long sentMillis, long nowMillis) {
		this.reportDelay.onReport(sentMillis, nowMillis);
		if (this.reportDelay.millis() >= TIMELY_REPORT_DELAY_MILLIS) {
			this.pathDoubtedMillis = nowMillis;
		}
	}

	/**
	 * Returns the delay of the latest report in transit, in excess of the fastest one.
	 */
	long reportDelayMillis() {
		return this.reportDelay.millis();
	}

	/**
	 * Whether the latest report arrived in time, or none is in use, and recent calls
	 * reached the upstream.
	 */
	boolean hasTimelyPath(long nowMillis) {
		if (nowMillis < this.slowPathUntilMillis) {
			return false;
		}
		long ageMillis = reportAgeMillis(nowMillis) + this.reportDelay.millis();
		return freshReport(nowMillis) == null
				|| (ageMillis < TIMELY_REPORT_AGE_MILLIS && this.reportDelay.millis() < TIMELY_REPORT_DELAY_MILLIS);
	}

	void onAgentLost(AgentLoss loss) {
		this.agentContact = switch (loss) {
			case CLOSED -> AgentContact.NONE;
			case SILENT -> AgentContact.SILENT;
		};
	}

	/**
	 * Whether the agent reports that the upstream answers, or does not report because it
	 * is not connected. An agent that is silent shows that its VM does not run, unless
	 * attempts there go on, and a report that was in transit for as long is no better
	 * than silence: a call would wait in the same queue.
	 */
	boolean responsive(long nowMillis) {
		UpstreamReport fresh = freshReport(nowMillis);
		if (fresh == null) {
			return switch (this.agentContact) {
				case NONE -> true;
				case CONNECTED -> false;
				case SILENT -> this.activity.progressedAfter(nowMillis - REPORT_LIFETIME_MILLIS);
			};
		}
		return fresh.reachable() && reportAgeMillis(nowMillis) + this.reportDelay.millis() < REPORT_LIFETIME_MILLIS;
	}

	/**
	 * Whether neither reports nor progress of attempts have come from the VM for a while.
	 * @param listeningSinceMillis time since which this process would have seen them
	 */
	boolean vmSilent(long listeningSinceMillis, long nowMillis) {
		long sinceMillis = nowMillis - VM_SILENCE_MILLIS;
		return this.agentContact != AgentContact.NONE
				&& Math.max(this.reportedMillis, listeningSinceMillis) <= sinceMillis
				&& !this.activity.progressedAfter(sinceMillis);
	}

	/**
	 * Returns the latest report, or null if there is none or it is stale.
	 */
	@Nullable UpstreamReport freshReport(long nowMillis) {
		return (nowMillis - this.reportedMillis < REPORT_LIFETIME_MILLIS) ? this.report : null;
	}

	/**
	 * Returns the age of the report in use in milliseconds, or -1 if there is none.
	 */
	long reportAgeMillis(long nowMillis) {
		return (freshReport(nowMillis) != null) ? nowMillis - this.reportedMillis : -1;
	}

	/**
	 * Returns the time in milliseconds since the latest report, -1 if there is none.
	 */
	long agentSilenceMillis(long nowMillis) {
		return (this.report != null) ? nowMillis - this.reportedMillis : -1;
	}

	/**
	 * Whether this gateway subscribes to the reports of the upstream's agent.
	 */
	boolean subscribed() {
		return this.subscribed;
	}

	void setSubscribed(boolean latest) {
		this.subscribed = latest;
		this.agentContact = latest ? this.agentContact : AgentContact.NONE;
	}

	/**
	 * Returns the number of gateways that subscribe to the upstream, empty if its agent
	 * has not reported it recently.
	 */
	OptionalInt gateways(long nowMillis) {
		UpstreamReport latest = this.report;
		return (latest != null && nowMillis - this.reportedMillis < GATEWAYS_LIFETIME_MILLIS)
				? OptionalInt.of(Math.max(1, latest.gateways())) : OptionalInt.empty();
	}

	/**
	 * Returns the number of gateways by which a limit on all calls is divided. While the
	 * agent of an engine that started has just begun to report, it knows only some of the
	 * gateways.
	 * @param gatewayCount number of gateways of the fleet, used while the agent does not
	 * report its own or knows only some
	 */
	int sharingGateways(int gatewayCount, long nowMillis) {
		int reported = Math.max(gateways(nowMillis).orElse(gatewayCount), this.recentGateways.max());
		boolean settling = this.startedCold && nowMillis - this.firstReportedMillis < SETTLING_MILLIS;
		return settling ? Math.max(reported, gatewayCount) : reported;
	}

	/**
	 * Returns the weights that the upstream serves according to its report, or to its
	 * entry if the report is stale or shows no answer.
	 */
	@Nullable LoadedWeights servedWeights(long nowMillis) {
		UpstreamReport fresh = freshReport(nowMillis);
		return (fresh != null && fresh.reachable()) ? fresh.weights() : this.upstream.weights();
	}

	/**
	 * Returns the calls of all gateways together that the upstream holds.
	 * @param gatewayCount number of gateways, used if the agent does not report it
	 */
	double load(int gatewayCount, long nowMillis) {
		UpstreamReport fresh = freshReport(nowMillis);
		if (fresh == null) {
			return (double) this.inFlight * gateways(nowMillis).orElse(gatewayCount);
		}
		return Math.max(this.inFlight, fresh.load() + this.inFlight - this.inFlightAtReport);
	}

	/**
	 * Whether a call may be sent although the path was slow: once one that was placed
	 * later has begun soon, or to find that out, if no other is on its way. An engine
	 * behind a narrow path looks idle once its last calls are answered, and the path to
	 * it may be narrow when that from there no longer is.
	 */
	boolean trustsPath() {
		return this.pathDoubtedMillis == NEVER_MILLIS || this.activity.begunSoonSince(this.pathDoubtedMillis)
				|| this.activity.notBegunCount() == 0;
	}

	/**
	 * Whether this gateway may send another call before a report shows those that it and
	 * the other gateways have sent lately: each takes its share of the capacity that
	 * reports have shown as free, and one call at least.
	 * @param capacityCalls calls that the upstream may hold
	 */
	boolean withinFreeShare(double capacityCalls, long nowMillis) {
		return freshReport(nowMillis) == null || this.inFlight < this.freeShare.maxOwnCalls(capacityCalls);
	}

	int inFlight() {
		return this.inFlight;
	}

	AttemptActivity onSend(AttemptObserver observer, long nowMillis) {
		this.inFlight++;
		this.sendRate.record(nowMillis);
		this.inTransitCalls.add(nowMillis);
		this.freeShare.onOwnCalls(this.inFlight, nowMillis);
		return this.activity.begin(observer, nowMillis);
	}

	/**
	 * Returns the sum of a value over the attempts of this gateway that run here.
	 */
	double sumOfRunning(ToDoubleFunction<AttemptActivity> value) {
		return this.activity.sum(value);
	}

	/**
	 * Records the end of an attempt.
	 * @param outcome its result
	 */
	void onEnd(Placement placement, Outcome outcome, ServicePace pace, long nowMillis) {
		this.inFlight--;
		this.inTransitCalls.remove(placement.placedMillis());
		this.freeShare.onOwnCalls(this.inFlight, nowMillis);
		this.activity.end(placement.activity(), outcome, conditions(pace, nowMillis), nowMillis);
	}

	/**
	 * Whether the running attempts of this gateway have all gone quiet. A call that has
	 * not begun at an engine may wait in its queue, unless the engine reports none.
	 */
	boolean quiet(ServicePace pace, long nowMillis) {
		return this.activity.quiet(conditions(pace, nowMillis), nowMillis);
	}

	private UpstreamActivity.Conditions conditions(ServicePace pace, long nowMillis) {
		UpstreamReport fresh = freshReport(nowMillis);
		boolean engine = this.upstream.weights() != null;
		boolean mayQueue = cold(nowMillis) || (engine && (fresh == null || fresh.queued() > 0));
		return new UpstreamActivity.Conditions(pace, mayQueue, fresh != null && fresh.load() <= 1);
	}

	/**
	 * Returns the time in milliseconds until another call fits a window, 0 if it does.
	 */
	long sendWaitMillis(SendWindow window, long nowMillis) {
		return this.sendRate.waitMillis(window, nowMillis);
	}

	/**
	 * Connection to the agent of the upstream.
	 */
	private enum AgentContact {

		/** There is none, and it says nothing about the upstream. */
		NONE,

		/** The agent reports, or has done so until lately. */
		CONNECTED,

		/** The agent has stopped to report, or cannot be reached. */
		SILENT

	}

}
