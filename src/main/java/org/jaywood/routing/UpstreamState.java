package org.jaywood.routing;

import java.util.OptionalInt;

import org.jspecify.annotations.Nullable;

/**
 * What one gateway knows of one incarnation of an upstream: its entry, its latest report,
 * the calls of this gateway that it holds and what they met. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class UpstreamState {

	/** A report is used for this long; without one, the own calls are extrapolated. */
	private static final long REPORT_LIFETIME_MILLIS = 900;

	/**
	 * Age of a report from which its agent or the way from there is slow; a bit more than
	 * the longest interval of reports.
	 */
	private static final long TIMELY_REPORT_AGE_MILLIS = 650;

	/** Delay of a report from which calls would notice the queue on the way. */
	private static final long TIMELY_REPORT_DELAY_MILLIS = 250;

	/** The number of gateways that an agent told counts for this long. */
	private static final long GATEWAYS_LIFETIME_MILLIS = 3_000;

	/**
	 * Time for which the way to an engine counts as slow after calls were held up on it;
	 * calls given up there meanwhile no longer show it.
	 */
	private static final long SLOW_PATH_MILLIS = 2_000;

	private final UpstreamHealth health = new UpstreamHealth();

	private final SendRate sendRate = new SendRate();

	private final ReportDelay reportDelay = new ReportDelay();

	private final InTransitCalls inTransitCalls = new InTransitCalls();

	private long slowPathUntilMillis = Long.MIN_VALUE;

	private Upstream upstream;

	private long coldUntilMillis;

	private long expiryMillis = Long.MAX_VALUE;

	private int inFlight;

	private @Nullable UpstreamReport report;

	private long reportedMillis;

	private int inFlightAtReport;

	private boolean agentConnected;

	private boolean subscribed;

	UpstreamState(Upstream upstream, long nowMillis) {
		this.upstream = upstream;
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
	 * Keeps an entry that may have lapsed only because the store was away.
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
		this.inFlightAtReport = this.inFlight;
		this.agentConnected = true;
		if (latest.reachable() && this.inTransitCalls.hasUndelivered(latest.load(), nowMillis)) {
			this.slowPathUntilMillis = nowMillis + SLOW_PATH_MILLIS;
		}
	}

	void onReportDelay(long sentMillis, long nowMillis) {
		this.reportDelay.onReport(sentMillis, nowMillis);
	}

	/**
	 * Whether the latest report came in time, or none is in use, and calls lately reached
	 * the upstream.
	 */
	boolean hasTimelyPath(long nowMillis) {
		if (nowMillis < this.slowPathUntilMillis) {
			return false;
		}
		long ageMillis = reportAgeMillis(nowMillis) + this.reportDelay.millis();
		return freshReport(nowMillis) == null
				|| (ageMillis < TIMELY_REPORT_AGE_MILLIS && this.reportDelay.millis() < TIMELY_REPORT_DELAY_MILLIS);
	}

	void onAgentLost() {
		this.agentConnected = false;
	}

	/**
	 * Whether the agent says that the upstream answers, or says nothing because it is not
	 * connected. An agent that is connected and silent shares the fate of its VM, and a
	 * report that was under way for as long is no better than silence: a call would wait
	 * behind the same queue.
	 */
	boolean responsive(long nowMillis) {
		UpstreamReport fresh = freshReport(nowMillis);
		if (fresh == null) {
			return !this.agentConnected;
		}
		return fresh.reachable() && reportAgeMillis(nowMillis) + this.reportDelay.millis() < REPORT_LIFETIME_MILLIS;
	}

	/**
	 * The latest report, or null if there is none or it is too old to be used.
	 */
	@Nullable UpstreamReport freshReport(long nowMillis) {
		return (nowMillis - this.reportedMillis < REPORT_LIFETIME_MILLIS) ? this.report : null;
	}

	/**
	 * Age of the report in use, or -1 if there is none.
	 */
	long reportAgeMillis(long nowMillis) {
		return (freshReport(nowMillis) != null) ? nowMillis - this.reportedMillis : -1;
	}

	/**
	 * Whether this gateway follows the agent of the upstream.
	 */
	boolean subscribed() {
		return this.subscribed;
	}

	void setSubscribed(boolean latest) {
		this.subscribed = latest;
		this.agentConnected = this.agentConnected && latest;
	}

	/**
	 * Number of gateways that follow the upstream, empty if its agent has not told
	 * lately.
	 */
	OptionalInt gateways(long nowMillis) {
		UpstreamReport latest = this.report;
		return (latest != null && nowMillis - this.reportedMillis < GATEWAYS_LIFETIME_MILLIS)
				? OptionalInt.of(Math.max(1, latest.gateways())) : OptionalInt.empty();
	}

	/**
	 * Weights that the upstream serves by the fresher of its report and its entry.
	 */
	@Nullable LoadedWeights servedWeights(long nowMillis) {
		UpstreamReport fresh = freshReport(nowMillis);
		return (fresh != null && fresh.reachable()) ? fresh.weights() : this.upstream.weights();
	}

	/**
	 * Calls that the upstream holds, of all gateways together.
	 * @param gatewayCount number of gateways, for an upstream whose agent does not tell
	 */
	double load(int gatewayCount, long nowMillis) {
		UpstreamReport fresh = freshReport(nowMillis);
		if (fresh == null) {
			return (double) this.inFlight * gateways(nowMillis).orElse(gatewayCount);
		}
		return Math.max(this.inFlight, fresh.load() + this.inFlight - this.inFlightAtReport);
	}

	int inFlight() {
		return this.inFlight;
	}

	void onSend(long nowMillis) {
		this.inFlight++;
		this.sendRate.record(nowMillis);
		this.inTransitCalls.add(nowMillis);
	}

	void onEnd(long placedMillis) {
		this.inFlight--;
		this.inTransitCalls.remove(placedMillis);
	}

	int sentInWindow(long nowMillis) {
		return this.sendRate.countInWindow(nowMillis);
	}

}
