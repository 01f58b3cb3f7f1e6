package org.jaywood.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.jaywood.wire.Address;

/**
 * Recognises parts of prompts that crash engines, and keeps calls with them from being
 * sent. An attempt that breaks before its answer went on counts only if the agent of its
 * engine reports that the engine's process has ended, since a connection may break for
 * many reasons. Safe for use by several threads.
 */
public final class PartScreen {

	/**
	 * Time for which an attempt that broke waits for the report that its engine ended.
	 */
	static final long END_REPORT_TIMEOUT_MILLIS = 2_000;

	/**
	 * Time after which a report shows that an engine still runs although an attempt
	 * broke. It is longer than the interval at which agents poll their engine.
	 */
	private static final long RUNNING_REPORT_DELAY_MILLIS = 250;

	/** Time for which the last report of an agent that has fallen silent is kept. */
	private static final long REPORT_LIFETIME_MILLIS = 60_000;

	/** Broken attempts that wait for a report; further ones are not counted. */
	private static final int MAX_BROKEN_ATTEMPTS = 1_024;

	private final CrashEvidence evidence;

	private final Observer observer;

	private final ProvenParts provenParts = new ProvenParts();

	private final List<BrokenAttempt> brokenAttempts = new ArrayList<>();

	private final Map<Address, EngineReport> latestReports = new HashMap<>();

	private final Map<Object, Watch> watches = new HashMap<>();

	private Set<BlockedParts> knownBlocked = Set.of();

	private final PartTrials trials = new PartTrials();

	private final List<Trial> releasedTrials = new ArrayList<>();

	/**
	 * Creates a screen.
	 * @param evidence table that is shared with agents and other gateways
	 * @param observer is told of what the screen finds
	 */
	public PartScreen(CrashEvidence evidence, Observer observer) {
		this.evidence = evidence;
		this.observer = observer;
	}

	public CrashEvidence evidence() {
		return this.evidence;
	}

	/**
	 * Returns the blocked parts that a prompt has, if any.
	 */
	public Optional<BlockedParts> blocking(Set<String> parts) {
		return parts.isEmpty() ? Optional.empty() : this.evidence.blocking(parts);
	}

	/**
	 * Records that an engine goes on with its answer to a call, or has completed it.
	 */
	public synchronized void onProven(Set<String> parts, long nowMillis) {
		parts.forEach((part) -> this.provenParts.add(part, nowMillis));
		if (parts.stream().anyMatch(this.evidence::suspected)) {
			onEvidence(nowMillis);
		}
	}

	/**
	 * Records that an attempt broke before the answer of its engine went on.
	 * @param begun whether the engine had begun its answer
	 */
	public synchronized void onBroken(Upstream engine, Set<String> parts, boolean begun, long nowMillis) {
		if (parts.isEmpty() || this.brokenAttempts.size() >= MAX_BROKEN_ATTEMPTS) {
			return;
		}
		this.brokenAttempts.add(new BrokenAttempt(engine, parts, begun, nowMillis));
		evaluate(nowMillis);
	}

	/**
	 * Records the report of an agent.
	 * @param engine address of its engine
	 */
	public synchronized void onReport(Address engine, UpstreamReport report, long nowMillis) {
		this.latestReports.put(engine, new EngineReport(report.upstream(), report.endedBornMillis(), nowMillis));
		evaluate(nowMillis);
		notifyAll();
	}

	/**
	 * Merges what another process knows.
	 * @return whether it contained news
	 */
	public synchronized boolean merge(EvidenceMessage message, long nowMillis) {
		boolean news = this.evidence.merge(message, nowMillis);
		if (news) {
			onEvidence(nowMillis);
		}
		return news;
	}

	/**
	 * Waits until it is known whether a call may be sent again whose attempt broke before
	 * its answer went on. It may not if its engine ended, unless all parts of its prompt
	 * are known to be sound: a second engine might end in the same way.
	 * @param waitMillis longest wait; without a report in this time the engine is taken
	 * as cut off
	 */
	public synchronized boolean awaitMayRetry(Upstream engine, Set<String> parts, long brokenMillis, long waitMillis,
			long nowMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
		long leftMillis = waitMillis;
		while (leftMillis > 0) {
			RetryDecision decision = decideRetry(engine, parts, brokenMillis, nowMillis + waitMillis - leftMillis);
			if (decision != RetryDecision.UNDECIDED) {
				return decision == RetryDecision.ALLOWED;
			}
			wait(leftMillis);
			leftMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
		}
		return true;
	}

	/**
	 * Decides whether a call may be sent again, as far as that is known yet.
	 */
	synchronized RetryDecision decideRetry(Upstream engine, Set<String> parts, long brokenMillis, long nowMillis) {
		if (unproven(parts, nowMillis).isEmpty()) {
			return RetryDecision.ALLOWED;
		}
		EngineReport report = this.latestReports.get(engine.address());
		if (report == null) {
			return RetryDecision.UNDECIDED;
		}
		if (report.showsEndOf(engine)) {
			return RetryDecision.FORBIDDEN;
		}
		boolean running = report.upstreamId().equals(engine.id())
				&& report.millis() >= brokenMillis + RUNNING_REPORT_DELAY_MILLIS;
		return running ? RetryDecision.ALLOWED : RetryDecision.UNDECIDED;
	}

	/**
	 * Has a call cancelled as soon as it is known that its parts crash engines, until
	 * {@link #unwatch}.
	 * @param key identifies the call
	 */
	public synchronized void watch(Object key, Set<String> parts, Runnable cancel) {
		if (!parts.isEmpty()) {
			this.watches.put(key, new Watch(parts, cancel));
		}
	}

	public synchronized void unwatch(Object key) {
		this.watches.remove(key);
	}

	/**
	 * Whether leases of trials have to be requested or released.
	 */
	public synchronized boolean hasTrialWork(long nowMillis) {
		return !this.releasedTrials.isEmpty()
				|| this.evidence.blocked().stream().anyMatch((each) -> nowMillis >= this.trials.dueMillis(each));
	}

	/**
	 * Returns the trials whose leases have to be requested now.
	 */
	public synchronized List<Trial> takeDueTrials(long nowMillis) {
		return this.trials.due(this.evidence.blocked(), nowMillis);
	}

	/**
	 * Records whether this gateway has the lease of a trial, or another one has.
	 */
	public synchronized void onTrialDecided(Trial trial, boolean granted) {
		this.trials.onLeaseDecided(trial, granted);
	}

	/**
	 * Records that another gateway has acquired a lease that this one had.
	 * @return whether the trial had not been sent, so that it is left to the other
	 * gateway
	 */
	public synchronized boolean onLeaseLost(String leaseName) {
		return this.trials.onLeaseLost(leaseName);
	}

	/**
	 * Takes a trial for a call with blocked parts.
	 * @return whether the call is the trial, so that it may be sent once
	 */
	public synchronized boolean takeTrial(Set<String> parts) {
		return this.trials.take(parts);
	}

	/**
	 * Returns trials whose parts are no longer blocked, so that their leases have to be
	 * released.
	 */
	public synchronized List<Trial> takeReleasedTrials() {
		List<Trial> released = List.copyOf(this.releasedTrials);
		this.releasedTrials.clear();
		return released;
	}

	/**
	 * Returns the time in milliseconds after which a call with blocked parts may be sent,
	 * or empty if its parts are not blocked.
	 */
	public synchronized OptionalLong retryAfterMillis(Set<String> parts, long nowMillis) {
		return blocking(parts).stream()
			.mapToLong((blocked) -> blocked.retryAfterMillis(this.trials.dueMillis(blocked), nowMillis))
			.findFirst();
	}

	/**
	 * Does the periodic work.
	 */
	public synchronized void onTick(long nowMillis) {
		this.brokenAttempts.removeIf((attempt) -> nowMillis - attempt.brokenMillis() > END_REPORT_TIMEOUT_MILLIS);
		this.latestReports.values().removeIf((report) -> nowMillis - report.millis() > REPORT_LIFETIME_MILLIS);
		this.evidence.expire(nowMillis);
		this.releasedTrials.addAll(this.trials.releaseUnblocked(this.evidence.blocked()));
	}

	/**
	 * Returns the parts that are not known to be sound.
	 */
	private Set<String> unproven(Set<String> parts, long nowMillis) {
		return parts.stream()
			.filter((part) -> !this.provenParts.contains(part, nowMillis))
			.filter((part) -> !this.evidence.proven(part, nowMillis))
			.collect(Collectors.toSet());
	}

	/**
	 * Turns broken attempts into evidence whose engines have ended.
	 */
	private void evaluate(long nowMillis) {
		List<BrokenAttempt> confirmed = this.brokenAttempts.stream().filter(this::engineEnded).toList();
		if (confirmed.isEmpty()) {
			return;
		}
		this.brokenAttempts.removeAll(confirmed);
		confirmed.forEach((attempt) -> addCrash(attempt, nowMillis));
		onEvidence(nowMillis);
	}

	private boolean engineEnded(BrokenAttempt attempt) {
		EngineReport report = this.latestReports.get(attempt.engine().address());
		return report != null && report.showsEndOf(attempt.engine());
	}

	private void addCrash(BrokenAttempt attempt, long nowMillis) {
		Set<String> suspects = unproven(attempt.parts(), nowMillis);
		String engine = CrashEvidence.incarnation(attempt.engine());
		if (!suspects.isEmpty()
				&& this.evidence.addCrash(engine, suspects, attempt.begun(), attempt.brokenMillis(), nowMillis)) {
			this.observer.onCrash(engine, suspects);
		}
	}

	/**
	 * Reacts to new evidence: states which of the suspects are sound, and cancels calls
	 * with parts that are blocked now.
	 */
	private void onEvidence(long nowMillis) {
		this.evidence.suspects()
			.filter((part) -> this.provenParts.contains(part, nowMillis))
			.filter((part) -> this.evidence.addSound(part, this.provenParts.provenMillis(part), nowMillis))
			.forEach(this.observer::onSound);
		Set<BlockedParts> latest = new HashSet<>(this.evidence.blocked());
		latest.stream().filter((each) -> !this.knownBlocked.contains(each)).forEach(this.observer::onBlocked);
		this.knownBlocked = latest;
		this.watches.values()
			.stream()
			.filter((watch) -> blocking(watch.parts()).isPresent())
			.toList()
			.forEach((watch) -> watch.cancel().run());
		notifyAll();
	}

	/**
	 * Is told of what a screen finds.
	 */
	public interface Observer {

		/**
		 * An engine ended under a call.
		 * @param engine incarnation of the engine
		 * @param suspects parts of the call that are not known to be sound
		 */
		void onCrash(String engine, Set<String> suspects);

		/** Parts are blocked, or more engines ended under them. */
		void onBlocked(BlockedParts parts);

		/** A suspected part has proved to be sound. */
		void onSound(String part);

	}

	/**
	 * Attempt that broke before the answer of its engine went on.
	 */
	private record BrokenAttempt(Upstream engine, Set<String> parts, boolean begun, long brokenMillis) {
	}

	/**
	 * What the latest report of an agent says about the incarnations of its engine.
	 *
	 * @param upstreamId id of the running incarnation, or empty
	 * @param endedBornMillis start time of the last incarnation that ended, 0 for none
	 * @param millis boot time at which the report was received
	 */
	private record EngineReport(String upstreamId, long endedBornMillis, long millis) {

		boolean showsEndOf(Upstream engine) {
			return this.endedBornMillis >= engine.bornMillis();
		}

	}

	/**
	 * Whether a call may be sent again after its attempt broke.
	 */
	enum RetryDecision {

		ALLOWED,

		FORBIDDEN,

		UNDECIDED

	}

	/**
	 * Call that is cancelled when its parts are blocked.
	 */
	private record Watch(Set<String> parts, Runnable cancel) {
	}

}
