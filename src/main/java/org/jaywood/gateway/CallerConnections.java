package org.jaywood.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jaywood.feed.BootClock;
import org.jaywood.routing.StallDetector;

/**
 * Open connections of callers, the calls that run on them, and the schedule by which a
 * graceful shutdown ends them.
 */
final class CallerConnections {

	/** Share of the bound beyond which idle connections close early. */
	private static final double CROWDED_SHARE = 0.875;

	/**
	 * Longest time after the last call for which a shutdown waits until no more callers
	 * connect.
	 */
	private static final long MAX_QUIET_WAIT_MILLIS = 500;

	private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();

	private final CallAdmission admission;

	private final StallDetector stallDetector = new StallDetector();

	private final int maxConnections;

	private volatile ShutdownSchedule shutdown = ShutdownSchedule.NONE;

	private int runningCalls;

	private long lastCallMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates the set.
	 * @param maxConnections largest number of open connections
	 */
	CallerConnections(CallAdmission admission, int maxConnections) {
		this.admission = admission;
		this.maxConnections = maxConnections;
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
	 * Records that an admitted call begins.
	 */
	synchronized void onCallBegun() {
		this.runningCalls++;
	}

	/**
	 * Records that an admitted call has ended.
	 */
	synchronized void onCallEnded(long nowMillis) {
		this.runningCalls--;
		this.lastCallMillis = nowMillis;
	}

	/**
	 * Waits until no connection is open. Idle connections count as open, since only their
	 * own task knows whether a request has arrived.
	 * @return whether that happened within the time-out
	 */
	synchronized boolean awaitAllClosed(long timeoutMillis) throws InterruptedException {
		long deadlineMillis = BootClock.nowMillis() + timeoutMillis;
		long leftMillis = timeoutMillis;
		while (!this.connections.isEmpty() && leftMillis > 0) {
			wait(leftMillis);
			leftMillis = deadlineMillis - BootClock.nowMillis();
		}
		return this.connections.isEmpty();
	}

	int openCount() {
		return this.connections.size();
	}

	/**
	 * Whether as many connections are open as the process admits.
	 */
	boolean full() {
		return openCount() >= this.maxConnections;
	}

	/**
	 * Whether so many are open that idle ones make room for others.
	 */
	boolean crowded() {
		return openCount() >= this.maxConnections * CROWDED_SHARE;
	}

	long busyCount() {
		return this.connections.stream().filter(CallerConnection::busy).count();
	}

	/**
	 * Whether a graceful shutdown has begun, so that each response is the last one of its
	 * connection.
	 */
	boolean draining() {
		return this.shutdown != ShutdownSchedule.NONE;
	}

	/**
	 * Returns the schedule of the graceful shutdown, {@link ShutdownSchedule#NONE} unless
	 * the process is draining.
	 */
	ShutdownSchedule shutdown() {
		return this.shutdown;
	}

	/**
	 * Whether a shutdown has nothing left to do, so that the port may close once no more
	 * callers connect.
	 */
	boolean finished(long nowMillis) {
		return nowMillis >= this.shutdown.idleCloseMillis() && this.connections.isEmpty();
	}

	/**
	 * Whether a shutdown closes the port although callers still connect: no call is left,
	 * and a new process can take theirs sooner if this one exits.
	 */
	synchronized boolean mustClosePort(long nowMillis) {
		if (nowMillis >= this.shutdown.portCloseMillis()) {
			return true;
		}
		long sinceMillis = Math.max(this.shutdown.idleCloseMillis(), this.lastCallMillis);
		return this.runningCalls == 0 && draining() && nowMillis - sinceMillis >= MAX_QUIET_WAIT_MILLIS;
	}

	/**
	 * Begins a graceful shutdown.
	 */
	void drain(ShutdownSchedule schedule) {
		this.shutdown = schedule;
	}

	/**
	 * Logs each request that the end of the process leaves without a complete response.
	 * @return number of these requests
	 */
	long reportProcessEnd() {
		return this.connections.stream().filter(CallerConnection::reportProcessEnd).count();
	}

	void closeOverdue(long nowMillis) {
		this.connections.forEach((connection) -> connection.closeIfOverdue(nowMillis));
	}

}
