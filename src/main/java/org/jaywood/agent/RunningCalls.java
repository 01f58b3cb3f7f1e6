package org.jaywood.agent;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * All calls that this agent has admitted and not ended, including those that gave up
 * their engine for lack of credit. Its watchdog ends calls past their deadline and writes
 * that block.
 */
final class RunningCalls {

	private final Collection<RunningCall> calls = ConcurrentHashMap.newKeySet();

	RunningCall add(CallRequest request) {
		RunningCall call = new RunningCall(request);
		this.calls.add(call);
		return call;
	}

	synchronized void remove(RunningCall call) {
		this.calls.remove(call);
		notifyAll();
	}

	int count() {
		return this.calls.size();
	}

	/**
	 * Call of a router, by its attempt and request id.
	 */
	Optional<RunningCall> find(String router, long attempt, String requestId) {
		return this.calls.stream()
			.filter((call) -> call.request().attempt() == attempt && call.request().router().equals(router)
					&& call.request().requestId().equals(requestId))
			.findFirst();
	}

	/**
	 * Ends what lasts too long.
	 * @return number of calls ended
	 */
	int cancelOverdue(long nowMillis, long nowNanos, long writeTimeoutMillis) {
		List<RunningCall> overdue = this.calls.stream()
			.filter((call) -> call.interruptBlockedWrite(nowNanos, writeTimeoutMillis)
					|| (nowMillis > call.request().deadlineMillis() && !call.cancelled()))
			.toList();
		overdue.forEach(RunningCall::cancel);
		return overdue.size();
	}

	long latestDeadlineMillis() {
		return this.calls.stream().mapToLong((call) -> call.request().deadlineMillis()).max().orElse(0);
	}

	synchronized boolean awaitEmpty(long timeoutMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (!this.calls.isEmpty()) {
			long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
			if (leftMillis <= 0) {
				return false;
			}
			wait(leftMillis);
		}
		return true;
	}

}
