package org.jaywood.agent;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.FenceReply;
import org.jaywood.wire.RefusalReason;

/**
 * Records the attempts that this agent has received, by the incarnation of their router.
 * It guarantees that no attempt is admitted twice, and that an attempt that was refused
 * or reported as NEVER_ADMITTED is never admitted later, however late it arrives.
 * <p>
 * For each router it keeps the highest fenced number and the outcomes of the last
 * {@value #WINDOW_ATTEMPTS} attempt numbers. Numbers up to the highest fenced one are no
 * longer admitted. Outcomes below the window are forgotten; these attempts are reported
 * as if they may have been admitted.
 * <p>
 * The number of routers is bounded. Removing one would admit its delayed attempts again,
 * so the least recently used router is closed instead: only its highest attempt number is
 * kept and all its attempts are refused. When {@value #MAX_CLOSED_ROUTERS} routers are
 * closed, unknown routers are refused until the agent restarts.
 */
final class AttemptRegistry {

	/**
	 * Attempt numbers that a router may assign while one of its attempts is in transit.
	 * Thousands of callers may arrive at one router at once, and refused attempts use up
	 * numbers too; the outcome of an attempt that is below the window before it arrives
	 * is unknown.
	 */
	static final int WINDOW_ATTEMPTS = 4_096;

	/**
	 * Several times the number of routers in the planned installation, which is below
	 * 370.
	 */
	private static final int MAX_ROUTERS = 1_024;

	private static final int MAX_CLOSED_ROUTERS = 65_536;

	private final int maxRouters;

	private final int maxClosedRouters;

	private final LinkedHashMap<String, RouterAttempts> attemptsByRouter = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Long> highestAttemptOfClosed = new HashMap<>();

	AttemptRegistry() {
		this(MAX_ROUTERS, MAX_CLOSED_ROUTERS);
	}

	AttemptRegistry(int maxRouters, int maxClosedRouters) {
		this.maxRouters = maxRouters;
		this.maxClosedRouters = maxClosedRouters;
	}

	/**
	 * Admits an attempt if it is new and its admission succeeds. Both are checked in one
	 * step, so that no fence can run in between.
	 * @param router incarnation of the router
	 * @param attempt number of the attempt
	 * @param admission admits the call or throws
	 * @throws AdmissionRefusedException if the attempt is not admitted, neither now nor
	 * later
	 */
	synchronized <T> T admitOnce(String router, long attempt, Supplier<T> admission) {
		RouterAttempts attempts = findOrAdd(router);
		if (attempts == null) {
			throw new AdmissionRefusedException(closedRouterReason(router, attempt), 0);
		}
		attempts.requireNew(attempt);
		try {
			T admitted = admission.get();
			attempts.addRunning(attempt);
			return admitted;
		}
		catch (AdmissionRefusedException refusal) {
			attempts.addRefused(attempt);
			throw refusal;
		}
	}

	private RefusalReason closedRouterReason(String router, long attempt) {
		return (attempt <= this.highestAttemptOfClosed.getOrDefault(router, 0L)) ? RefusalReason.DUPLICATE
				: RefusalReason.FENCED;
	}

	/**
	 * Records that an admitted attempt has ended.
	 */
	synchronized void markEnded(String router, long attempt) {
		recordEnd(router, attempt, (attempts) -> attempts.endedAttempts);
	}

	/**
	 * Records that the upstream did not accept an admitted attempt.
	 */
	synchronized void markNotRun(String router, long attempt) {
		recordEnd(router, attempt, (attempts) -> attempts.refusedAttempts);
	}

	private void recordEnd(String router, long attempt, Function<RouterAttempts, AttemptWindow> targetWindow) {
		RouterAttempts attempts = this.attemptsByRouter.get(router);
		if (attempts != null) {
			attempts.moveFromRunning(attempt, targetWindow.apply(attempts));
		}
		notifyAll();
	}

	/**
	 * Prevents the admission of an attempt that was not admitted before and returns its
	 * state. FORGOTTEN is returned for every attempt that has ended; the caller may still
	 * have its answer.
	 */
	synchronized FenceReply.State fence(String router, long attempt) {
		RouterAttempts attempts = findOrAdd(router);
		if (attempts != null) {
			return attempts.fence(attempt);
		}
		return (closedRouterReason(router, attempt) == RefusalReason.FENCED) ? FenceReply.State.NEVER_ADMITTED
				: FenceReply.State.FORGOTTEN;
	}

	/**
	 * Fences an attempt and waits until it no longer runs.
	 * @param waitMillis longest wait
	 * @return state of the attempt, RUNNING if it still runs after the wait
	 */
	synchronized FenceReply.State fenceAndAwait(String router, long attempt, long waitMillis)
			throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		FenceReply.State state = fence(router, attempt);
		while (state == FenceReply.State.RUNNING) {
			long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
			if (leftMillis <= 0) {
				return state;
			}
			wait(leftMillis);
			state = fence(router, attempt);
		}
		return state;
	}

	synchronized int routerCount() {
		return this.attemptsByRouter.size();
	}

	synchronized int closedRouterCount() {
		return this.highestAttemptOfClosed.size();
	}

	private @Nullable RouterAttempts findOrAdd(String router) {
		RouterAttempts existing = this.attemptsByRouter.get(router);
		if (existing != null || this.highestAttemptOfClosed.containsKey(router)) {
			return existing;
		}
		if (this.attemptsByRouter.size() >= this.maxRouters && !closeLeastRecentlyUsed()) {
			// Refused attempts of an unknown router are not recorded, so the router must
			// be refused from now on.
			return null;
		}
		RouterAttempts added = new RouterAttempts();
		this.attemptsByRouter.put(router, added);
		return added;
	}

	/**
	 * Closes the least recently used router without running attempts, if there is one.
	 * @return false if the maximum number of closed routers is reached
	 */
	private boolean closeLeastRecentlyUsed() {
		if (this.highestAttemptOfClosed.size() >= this.maxClosedRouters) {
			return false;
		}
		Optional<Map.Entry<String, RouterAttempts>> closable = this.attemptsByRouter.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().hasNoneRunning())
			.findFirst();
		// Routers with running calls are kept; admission bounds their number.
		closable.ifPresent((entry) -> {
			this.highestAttemptOfClosed.put(entry.getKey(), entry.getValue().highestAttempt);
			this.attemptsByRouter.remove(entry.getKey());
		});
		return true;
	}

	/**
	 * Attempts of one router. Those that no longer run take two bits each.
	 */
	private static final class RouterAttempts {

		private final Set<Long> runningAttempts = new HashSet<>();

		private final AttemptWindow endedAttempts = new AttemptWindow(WINDOW_ATTEMPTS);

		private final AttemptWindow refusedAttempts = new AttemptWindow(WINDOW_ATTEMPTS);

		private long highestFenced;

		private long highestAttempt;

		private boolean hasNoneRunning() {
			return this.runningAttempts.isEmpty();
		}

		private boolean isBelowWindow(long attempt) {
			return attempt <= this.highestAttempt - WINDOW_ATTEMPTS;
		}

		private void requireNew(long attempt) {
			if (this.runningAttempts.contains(attempt) || isBelowWindow(attempt)
					|| this.endedAttempts.contains(attempt)) {
				throw new AdmissionRefusedException(RefusalReason.DUPLICATE, 0);
			}
			if (attempt <= this.highestFenced || this.refusedAttempts.contains(attempt)) {
				throw new AdmissionRefusedException(RefusalReason.FENCED, 0);
			}
		}

		private void addRunning(long attempt) {
			this.runningAttempts.add(attempt);
			advanceWindow(attempt);
		}

		private void addRefused(long attempt) {
			advanceWindow(attempt);
			this.refusedAttempts.add(attempt);
		}

		// An attempt below the window is recorded only while it runs.
		private void moveFromRunning(long attempt, AttemptWindow targetWindow) {
			if (this.runningAttempts.remove(attempt) && !isBelowWindow(attempt)) {
				targetWindow.add(attempt);
			}
		}

		private FenceReply.State fence(long attempt) {
			if (this.runningAttempts.contains(attempt)) {
				return FenceReply.State.RUNNING;
			}
			if (isBelowWindow(attempt) || this.endedAttempts.contains(attempt)) {
				return FenceReply.State.FORGOTTEN;
			}
			if (!this.refusedAttempts.contains(attempt)) {
				this.highestFenced = Math.max(this.highestFenced, attempt);
				advanceWindow(attempt);
			}
			return FenceReply.State.NEVER_ADMITTED;
		}

		private void advanceWindow(long attempt) {
			if (attempt > this.highestAttempt) {
				this.endedAttempts.moveTo(attempt);
				this.refusedAttempts.moveTo(attempt);
				this.highestAttempt = attempt;
			}
		}

	}

}
