package org.jaywood.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jaywood.feed.BootClock;

/**
 * Open connections of callers, which the process watches over and ends when it stops.
 */
final class CallerConnections {

	private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();

	private final CallAdmission admission;

	private final StallDetector stallDetector = new StallDetector();

	private volatile long idleCloseMillis = Long.MAX_VALUE;

	private volatile long answerDeadlineMillis = Long.MAX_VALUE;

	CallerConnections(CallAdmission admission) {
		this.admission = admission;
	}

	CallAdmission admission() {
		return this.admission;
	}

	StallDetector stallDetector() {
		return this.stallDetector;
	}

	void add(CallerConnection connection) {
		this.connections.add(connection);
	}

	synchronized void remove(CallerConnection connection) {
		this.connections.remove(connection);
		notifyAll();
	}

	/**
	 * Waits until no connection is open. Idle ones count, since only their own task knows
	 * whether a request has arrived.
	 * @return whether that was so within the time
	 */
	synchronized boolean awaitAllClosed(long timeoutMillis) throws InterruptedException {
		long untilMillis = BootClock.nowMillis() + timeoutMillis;
		long leftMillis = timeoutMillis;
		while (!this.connections.isEmpty() && leftMillis > 0) {
			wait(leftMillis);
			leftMillis = untilMillis - BootClock.nowMillis();
		}
		return this.connections.isEmpty();
	}

	int openCount() {
		return this.connections.size();
	}

	long busyCount() {
		return this.connections.stream().filter(CallerConnection::busy).count();
	}

	/**
	 * Whether each answer is the last one of its connection.
	 */
	boolean draining() {
		return this.idleCloseMillis != Long.MAX_VALUE;
	}

	/**
	 * Boot time at which idle connections and the port end, far ahead unless the process
	 * stops.
	 */
	long idleCloseMillis() {
		return this.idleCloseMillis;
	}

	/**
	 * Boot time by which a call that is read now must have its final answer, far ahead
	 * unless the process stops.
	 */
	long answerDeadlineMillis() {
		return this.answerDeadlineMillis;
	}

	/**
	 * Begins a planned stop.
	 * @param idleEndMillis boot time from which on idle connections end
	 * @param answerEndMillis boot time by which each call that is read from now on must
	 * have its final answer
	 */
	void drain(long idleEndMillis, long answerEndMillis) {
		this.answerDeadlineMillis = answerEndMillis;
		this.idleCloseMillis = idleEndMillis;
	}

	void closeOverdue(long nowMillis) {
		this.connections.forEach((connection) -> connection.closeIfOverdue(nowMillis));
	}

}
