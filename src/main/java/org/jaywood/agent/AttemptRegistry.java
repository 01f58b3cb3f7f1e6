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
 * A fence is a request of a router that prevents the later admission of an attempt. For
 * each router the registry keeps the highest fenced number and the outcomes of the last
 * {@value #WINDOW_ATTEMPTS} attempt numbers. Numbers up to the highest fenced one are no
 * longer admitted. The outcomes of attempts below the window are deleted; such an attempt
 * is reported as FORGOTTEN, which means that it may have run.
 * <p>
 * The number of routers is bounded. If the record of a router were deleted, its attempts
 * that arrive late could be admitted a second time. The least recently used router is
 * therefore closed: only its highest attempt number is kept and all its attempts are
 * refused. When {@value #MAX_CLOSED_ROUTERS} routers are closed, unknown routers are
 * refused until the agent restarts.
 */
final class AttemptRegistry {

	/**
	 * Number of attempt numbers that a router may assign between sending an attempt and
	 * its arrival here. Thousands of callers may arrive at one router at once, and
	 * refused attempts use up numbers too; the outcome of an attempt that is below the
	 * window before it arrives is unknown.
	 */
	static final int WINDOW_ATTEMPTS = 4_096;

	/**
	 * Largest number of routers that are not closed. It is several times the number of
	 * routers in the planned installation, which has fewer than 370.
	 */
	private static final int MAX_ROUTERS = 1_024;

	private static final int MAX_CLOSED_ROUTERS = 65_536;

	private final int maxRouters;

	private final int maxClosedRouters;

	private final LinkedHashMap<String, RouterAttempts> attemptsByRouter = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Long> highestAttemptByClosedRouter = new HashMap<>();

	AttemptRegistry() {
		this(MAX_ROUTERS, MAX_CLOSED_ROUTERS);
	}

	AttemptRegistry(int maxRouters, int maxClosedRouters) {
		this.maxRouters = maxRouters;
		this.maxClosedRouters = maxClosedRouters;
	}

	/**
	 * Admits an attempt if it is new and its admission succeeds. The check and the
	 * admission run under one lock, so that no fence runs between them.
	 * @param router incarnation of the router
	 * @param attempt number of the attempt
	 * @param admission admits the call or throws
	 * @throws AdmissionRefusedException if the attempt is refused; a repetition of it is
	 * refused too
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
		return (attempt <= this.highestAttemptByClosedRouter.getOrDefault(router, 0L)) ? RefusalReason.DUPLICATE
				: RefusalReason.FENCED;
	}

	/**
	 * Records that an admitted attempt has ended.
	 */
	synchronized void markEnded(String router, long attempt) {
		recordEnd(router, attempt, (attempts) -> attempts.endedAttempts);
	}

	/**
	 * Records that an admitted attempt was refused because the upstream did not run it; a
	 * fence reports it as NEVER_ADMITTED.
	 */
	synchronized void markRefused(String router, long attempt) {
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
	 * state. FORGOTTEN is returned for every attempt that has ended, even if
	 * {@link FinishedAnswerCache} still holds its answer; {@link CallControl} looks
	 * there.
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
		return this.highestAttemptByClosedRouter.size();
	}

	private @Nullable RouterAttempts findOrAdd(String router) {
		RouterAttempts existing = this.attemptsByRouter.get(router);
		if (existing != null || this.highestAttemptByClosedRouter.containsKey(router)) {
			return existing;
		}
		if (this.attemptsByRouter.size() >= this.maxRouters && !closeLeastRecentlyUsed()) {
			// No further router can be closed, and this router is not recorded. All its
			// attempts are refused until the agent restarts, since a refused attempt must
			// not be admitted later.
			return null;
		}
		RouterAttempts added = new RouterAttempts();
		this.attemptsByRouter.put(router, added);
		return added;
	}

	/**
	 * Closes the least recently used of the routers that have no running attempt. If
	 * every router has one, none is closed.
	 * @return whether another router may be recorded: false only if the maximum number of
	 * closed routers is reached
	 */
	private boolean closeLeastRecentlyUsed() {
		if (this.highestAttemptByClosedRouter.size() >= this.maxClosedRouters) {
			return false;
		}
		Optional<Map.Entry<String, RouterAttempts>> closable = this.attemptsByRouter.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().hasNoneRunning())
			.findFirst();
		// Routers with running attempts are kept. There are at most as many of them
		// as AdmissionController admits calls at a time.
		closable.ifPresent((entry) -> {
			this.highestAttemptByClosedRouter.put(entry.getKey(), entry.getValue().highestAttempt);
			this.attemptsByRouter.remove(entry.getKey());
		});
		return true;
	}

	/**
	 * Attempts of one router. An attempt that has ended takes one bit in each of the two
	 * windows.
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
