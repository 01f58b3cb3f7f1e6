package org.jaywood.gateway;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedRequest;

/**
 * Logs and counts the requests of one connection that end without a complete response,
 * whether this process or the caller ends them. Safe for use by several threads.
 */
final class RequestEndLog {

	private final GatewayContext context;

	private final RequestHandler handler;

	/** Request whose response is not complete, or null if there is none. */
	private volatile @Nullable CallerRequest pending;

	/** Why this process closes the connection, or null if it does not. */
	private volatile @Nullable String closeCause;

	RequestEndLog(GatewayContext context, RequestHandler handler) {
		this.context = context;
		this.handler = handler;
	}

	/**
	 * Records that the first bytes of a request have arrived.
	 */
	CallerRequest onBegin(long nowMillis) {
		CallerRequest request = new CallerRequest(nowMillis);
		this.pending = request;
		return request;
	}

	/**
	 * Records that a request has ended with a complete response, or that its end has been
	 * logged.
	 */
	void onEnded() {
		this.pending = null;
	}

	/**
	 * Records that this process closes the connection.
	 */
	void onClosing(String cause) {
		this.closeCause = cause;
	}

	/**
	 * Whether this process closes the connection.
	 */
	boolean closing() {
		return this.closeCause != null;
	}

	/**
	 * Logs that the caller has ended a request, unless this process has closed the
	 * connection, which reports its own cause.
	 * @param error why reading or writing failed
	 */
	void onCallerGone(CallerRequest request, String error) {
		if (closing()) {
			return;
		}
		this.pending = null;
		this.context.metrics().counter("call.caller_gone").inc();
		this.context.log()
			.log(Event.CALLER_GONE, "request", callId(request), "stage", request.stage().label(), "millis",
					request.ageMillis(BootClock.nowMillis()), "error", error);
	}

	/**
	 * Logs that this process, not the caller, has closed the connection while a request
	 * has no complete response.
	 */
	void onClosed(int unreadBytes) {
		String cause = this.closeCause;
		if (cause != null) {
			logUnanswered(cause, unreadBytes);
		}
	}

	/**
	 * Logs that the process ends while a request has no complete response.
	 * @return whether there is such a request, read or not
	 */
	boolean onProcessEnd(int unreadBytes) {
		return logUnanswered("process end", unreadBytes);
	}

	private boolean logUnanswered(String cause, int unreadBytes) {
		CallerRequest request = this.pending;
		if (request == null && unreadBytes == 0) {
			return false;
		}
		RequestStage stage = (request != null) ? request.stage() : RequestStage.UNREAD;
		this.context.metrics().counter("connection.unanswered").inc();
		this.context.log()
			.log(Event.CONNECTION_ENDED_UNANSWERED, "cause", cause, "request", callId(request), "stage", stage.label(),
					"unread", unreadBytes);
		return true;
	}

	private String callId(@Nullable CallerRequest request) {
		BufferedRequest content = (request != null) ? request.content() : null;
		return (content != null) ? this.handler.callId(content) : "";
	}

}
