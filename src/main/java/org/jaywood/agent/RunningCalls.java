package org.jaywood.agent;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * All admitted calls of this agent that have not ended, including those that released
 * their permit for lack of credit. The watchdog uses it to end calls past their deadline
 * and blocked writes.
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
	 * Returns the call of a router by its attempt and request id.
	 */
	Optional<RunningCall> find(String router, long attempt, String requestId) {
		return this.calls.stream()
			.filter((call) -> call.request().attempt() == attempt && call.request().router().equals(router)
					&& call.request().requestId().equals(requestId))
			.findFirst();
	}

	/**
	 * Cancels calls past their deadline and calls whose write is blocked for too long.
	 * @return number of calls cancelled
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
