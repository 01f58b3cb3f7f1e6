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
 * For each router it keeps a floor and the last {@value #WINDOW} numbers. Numbers at or
 * below the floor are not admitted any more. What became of numbers older than the window
 * is forgotten; they are answered as if they may have been admitted.
 * <p>
 * The number of routers is bounded. Forgetting one would let its stalled hand-overs in
 * again, so the router unused for longest is closed instead: only its highest number is
 * kept and all its hand-overs are refused. When {@value #MAX_CLOSED} routers are closed,
 * unknown routers are refused until the agent restarts.
 */
final class AttemptRegistry {

	/**
	 * Numbers that a router may give while one of its hand-overs is on its way. Thousands
	 * of callers may arrive at one router at once, and all that find no room use up
	 * numbers; a hand-over that falls out of the window before it arrives ends as
	 * unknown.
	 */
	static final int WINDOW = 4_096;

	/** Several times the routers of the planned size, which is below 370. */
	private static final int MAX_ROUTERS = 1_024;

	private static final int MAX_CLOSED = 65_536;

	private final int maxRouters;

	private final int maxClosed;

	private final LinkedHashMap<String, Book> books = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Long> closed = new HashMap<>();

	AttemptRegistry() {
		this(MAX_ROUTERS, MAX_CLOSED);
	}

	AttemptRegistry(int maxRouters, int maxClosed) {
		this.maxRouters = maxRouters;
		this.maxClosed = maxClosed;
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
		Book book = book(router);
		if (book == null) {
			throw new AdmissionRefusedException(mayHaveBeenAdmitted(router, attempt), 0);
		}
		book.check(attempt);
		try {
			T admitted = admission.get();
			book.run(attempt);
			return admitted;
		}
		catch (AdmissionRefusedException refusal) {
			book.refuse(attempt);
			throw refusal;
		}
	}

	private RefusalReason mayHaveBeenAdmitted(String router, long attempt) {
		return (attempt <= this.closed.getOrDefault(router, 0L)) ? RefusalReason.DUPLICATE : RefusalReason.FENCED;
	}

	/**
	 * Notes that an admitted attempt has ended.
	 */
	synchronized void markEnded(String router, long attempt) {
		settle(router, attempt, (book) -> book.ended);
	}

	/**
	 * Notes that the upstream did not take an admitted attempt.
	 */
	synchronized void markNotRun(String router, long attempt) {
		settle(router, attempt, (book) -> book.refused);
	}

	private void settle(String router, long attempt, Function<Book, AttemptWindow> settled) {
		Book book = this.books.get(router);
		if (book != null) {
			book.settle(attempt, settled.apply(book));
		}
		notifyAll();
	}

	/**
	 * Voids an attempt that was not admitted and tells what became of it. FORGOTTEN
	 * stands for any attempt that has ended; the caller may know its answer.
	 */
	synchronized FenceReply.State fence(String router, long attempt) {
		Book book = book(router);
		if (book != null) {
			return book.fence(attempt);
		}
		return (mayHaveBeenAdmitted(router, attempt) == RefusalReason.FENCED) ? FenceReply.State.NEVER_ADMITTED
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

	synchronized int routers() {
		return this.books.size();
	}

	synchronized int closedRouters() {
		return this.closed.size();
	}

	private @Nullable Book book(String router) {
		Book known = this.books.get(router);
		if (known != null || this.closed.containsKey(router)) {
			return known;
		}
		if (this.books.size() >= this.maxRouters && !closeLongestUnused()) {
			// The refusals of an unknown router are not recorded, so they must be for
			// good.
			return null;
		}
		Book added = new Book();
		this.books.put(router, added);
		return added;
	}

	/**
	 * Makes room for another router.
	 * @return false when no router can ever be closed again
	 */
	private boolean closeLongestUnused() {
		if (this.closed.size() >= this.maxClosed) {
			return false;
		}
		Optional<Map.Entry<String, Book>> idle = this.books.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().idle())
			.findFirst();
		// Routers with running calls stay; admission bounds how many these are.
		idle.ifPresent((entry) -> {
			this.closed.put(entry.getKey(), entry.getValue().highest);
			this.books.remove(entry.getKey());
		});
		return true;
	}

	/**
	 * The attempts of one router. Those that no longer run take two bits each.
	 */
	private static final class Book {

		private final Set<Long> running = new HashSet<>();

		private final AttemptWindow ended = new AttemptWindow(WINDOW);

		private final AttemptWindow refused = new AttemptWindow(WINDOW);

		private long floor;

		private long highest;

		private boolean idle() {
			return this.running.isEmpty();
		}

		private boolean forgotten(long attempt) {
			return attempt <= this.highest - WINDOW;
		}

		private void check(long attempt) {
			if (this.running.contains(attempt) || forgotten(attempt) || this.ended.contains(attempt)) {
				throw new AdmissionRefusedException(RefusalReason.DUPLICATE, 0);
			}
			if (attempt <= this.floor || this.refused.contains(attempt)) {
				throw new AdmissionRefusedException(RefusalReason.FENCED, 0);
			}
		}

		private void run(long attempt) {
			this.running.add(attempt);
			raise(attempt);
		}

		private void refuse(long attempt) {
			raise(attempt);
			this.refused.add(attempt);
		}

		// An attempt older than the window was still known while it ran.
		private void settle(long attempt, AttemptWindow settled) {
			if (this.running.remove(attempt) && !forgotten(attempt)) {
				settled.add(attempt);
			}
		}

		private FenceReply.State fence(long attempt) {
			if (this.running.contains(attempt)) {
				return FenceReply.State.RUNNING;
			}
			if (forgotten(attempt) || this.ended.contains(attempt)) {
				return FenceReply.State.FORGOTTEN;
			}
			if (!this.refused.contains(attempt)) {
				this.floor = Math.max(this.floor, attempt);
				raise(attempt);
			}
			return FenceReply.State.NEVER_ADMITTED;
		}

		private void raise(long attempt) {
			if (attempt > this.highest) {
				this.ended.moveTo(attempt);
				this.refused.moveTo(attempt);
				this.highest = attempt;
			}
		}

	}

}
