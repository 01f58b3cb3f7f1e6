package org.jaywood.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Open connections of callers, which the process watches over and ends when it stops.
 */
final class ActiveCalls {

	private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();

	private final CallAdmission admission;

	private final StallWatch stalls = new StallWatch();

	private volatile boolean draining;

	ActiveCalls(CallAdmission admission) {
		this.admission = admission;
	}

	CallAdmission admission() {
		return this.admission;
	}

	StallWatch stalls() {
		return this.stalls;
	}

	void add(CallerConnection connection) {
		this.connections.add(connection);
	}

	void remove(CallerConnection connection) {
		this.connections.remove(connection);
	}

	int open() {
		return this.connections.size();
	}

	long busy() {
		return this.connections.stream().filter(CallerConnection::busy).count();
	}

	/**
	 * Whether each answer is the last one of its connection.
	 */
	boolean draining() {
		return this.draining;
	}

	void drain() {
		this.draining = true;
	}

	void closeOverdue(long nowMillis) {
		this.connections.forEach((connection) -> connection.closeIfOverdue(nowMillis));
	}

	void closeIdle() {
		this.connections.forEach(CallerConnection::closeIfIdle);
	}

}
