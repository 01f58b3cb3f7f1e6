package org.jaywood.gateway;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedRequest;

/**
 * Decides whether the requests of a connection are allowed, and runs those that are.
 */
final class RequestHandler {

	/** Response to a request that met an unexpected error before any attempt. */
	static final CallFailure INTERNAL_ERROR = new CallFailure.NotRun("internal-error", 1_000);

	/**
	 * Response to a request that comes too late in a graceful shutdown; other gateways
	 * take it at once.
	 */
	static final CallFailure LEAVING = new CallFailure.NotRun("draining", 0);

	private final GatewayContext context;

	private final CallerConnections connections;

	private final OverdueTimer overdueTimer;

	/**
	 * Creates a handler.
	 * @param overdueTimer limits the time of a call whose caller does not read
	 */
	RequestHandler(GatewayContext context, CallerConnections connections, OverdueTimer overdueTimer) {
		this.context = context;
		this.connections = connections;
		this.overdueTimer = overdueTimer;
	}

	/**
	 * Handles a request up to its final response.
	 */
	void handle(BufferedRequest request, CallerResponse response, Cancellation cancellation)
			throws CallerGoneException {
		long nowMillis = BootClock.nowMillis();
		switch (decide(request, nowMillis)) {
			case CallAdmission.Decision.Admitted admitted when !this.connections.shutdown()
				.hasTimeFor(admitted.call(), nowMillis) ->
				this.context.errorResponder().respond(response, admitted.call().id(), nowMillis, LEAVING);
			case CallAdmission.Decision.Admitted admitted ->
				run(admitted.call().withShutdown(() -> this.connections.shutdown().answerDeadlineMillis()), response,
						cancellation);
			case CallAdmission.Decision.Refused refused ->
				this.context.errorResponder().respond(response, callId(request), nowMillis, refused.failure());
		}
	}

	/**
	 * Decides whether a request is allowed. It has not been sent to an upstream yet, so
	 * an unexpected error is reported as not run.
	 */
	private CallAdmission.Decision decide(BufferedRequest request, long nowMillis) {
		StoreCache storeCache = this.context.storeCache();
		try {
			return this.connections.admission()
				.decide(request, storeCache.table(), storeCache.confirmedMillis(), nowMillis);
		}
		catch (RuntimeException | Error ex) {
			logFailure(request, ex);
			return new CallAdmission.Decision.Refused(INTERNAL_ERROR);
		}
	}

	/**
	 * Returns the id of the call, for the log, empty if it has none.
	 */
	String callId(BufferedRequest request) {
		try {
			return this.context.protocol().read(request.head()).callId();
		}
		catch (RuntimeException ex) {
			// The id is for the log only, and the request must still be answered.
			logFailure(request, ex);
			return "";
		}
	}

	void logFailure(BufferedRequest request, Throwable failure) {
		this.context.log()
			.log(Event.HANDLER_FAILED, "method", request.head().getMethod(), "path", request.head().getRequestUri(),
					"error", failure);
	}

	private void run(Call call, CallerResponse response, Cancellation cancellation) {
		this.overdueTimer.set(call.deadlineMillis() + CallerConnection.LINGER_MILLIS);
		this.connections.onCallBegun();
		try {
			new CallTask(this.context, call, response, cancellation).run();
		}
		finally {
			this.connections.onCallEnded(BootClock.nowMillis());
			this.overdueTimer.set(Long.MAX_VALUE);
		}
	}

}
