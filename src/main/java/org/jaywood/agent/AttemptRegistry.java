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
 * The hand-overs that this agent has seen, by the incarnation of their router. It
 * guarantees that no attempt is admitted twice, and that an attempt that was refused or
 * answered with NEVER_ADMITTED is never admitted later, however late it arrives.
 * <p>
 * For each router it keeps a floor and the last {@value #WINDOW_ATTEMPTS} numbers.
 * Numbers at or below the floor are not admitted any more. What became of numbers older
 * than the window is forgotten; they are answered as if they may have been admitted.
 * <p>
 * The number of routers is bounded. Forgetting one would let its stalled hand-overs in
 * again, so the router unused for longest is closed instead: only its highest number is
 * kept and all its hand-overs are refused. When {@value #MAX_CLOSED_ROUTERS} routers are
 * closed, unknown routers are refused until the agent restarts.
 */
final class AttemptRegistry {

	/**
	 * Numbers that a router may give while one of its hand-overs is on its way. Thousands
	 * of callers may arrive at one router at once, and all that find no room use up
	 * numbers; a hand-over that falls out of the window before it arrives ends as
	 * unknown.
	 */
	static final int WINDOW_ATTEMPTS = 4_096;

	/** Several times the routers of the planned size, which is below 370. */
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
	 * Admits a hand-over if it is new and its admission succeeds; both are one step, so
	 * that no fence comes between.
	 * @param router incarnation of the router
	 * @param attempt number of the hand-over
	 * @param admission admits the call or throws
	 * @throws AdmissionRefusedException if it is not admitted, now or later
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
	 * Notes that an admitted attempt has ended.
	 */
	synchronized void markEnded(String router, long attempt) {
		recordEnd(router, attempt, (attempts) -> attempts.endedAttempts);
	}

	/**
	 * Notes that the upstream did not take an admitted attempt.
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
	 * Voids an attempt that was not admitted and tells what became of it. FORGOTTEN
	 * stands for any attempt that has ended; the caller may know its answer.
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
			// The refusals of an unknown router are not recorded, so they must be for
			// good.
			return null;
		}
		RouterAttempts added = new RouterAttempts();
		this.attemptsByRouter.put(router, added);
		return added;
	}

	/**
	 * Makes room for another router.
	 * @return false when no router can ever be closed again
	 */
	private boolean closeLeastRecentlyUsed() {
		if (this.highestAttemptOfClosed.size() >= this.maxClosedRouters) {
			return false;
		}
		Optional<Map.Entry<String, RouterAttempts>> closable = this.attemptsByRouter.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().hasNoneRunning())
			.findFirst();
		// Routers with running calls stay; admission bounds how many these are.
		closable.ifPresent((entry) -> {
			this.highestAttemptOfClosed.put(entry.getKey(), entry.getValue().highestAttempt);
			this.attemptsByRouter.remove(entry.getKey());
		});
		return true;
	}

	/**
	 * The attempts of one router. Those that no longer run take two bits each.
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

		// An attempt older than the window was still known while it ran.
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
