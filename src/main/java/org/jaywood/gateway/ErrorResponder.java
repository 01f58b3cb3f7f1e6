package org.jaywood.gateway;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.wire.Json;

/**
 * Sends the final responses of the gateway itself. Status 503 says that the call has not
 * run, 502 and 504 that it is not known whether it has run.
 */
final class ErrorResponder {

	private final CallProtocol protocol;

	private final GatewayMetrics metrics;

	private final EventLog log;

	ErrorResponder(CallProtocol protocol, GatewayMetrics metrics, EventLog log) {
		this.protocol = protocol;
		this.metrics = metrics;
		this.log = log;
	}

	/**
	 * Sends a final response and logs it.
	 * @param arrivedMillis boot time at which the call was read
	 */
	void respond(CallerResponse response, String callId, long arrivedMillis, CallFailure failure)
			throws CallerGoneException {
		ClassicHttpResponse head = new BasicClassicHttpResponse(status(failure));
		head.setHeader(HttpHeaders.CONTENT_TYPE, "application/json");
		if (failure instanceof CallFailure.NotRun notRun) {
			this.protocol.writeRetryAfter(head, notRun.retryAfterMillis());
		}
		this.metrics.counter("call.refused." + reason(failure)).inc();
		this.log.log(Event.CALL_REFUSED, "request", callId, "status", head.getCode(), "reason", reason(failure),
				"retryAfter", retryAfterMillis(failure), "millis", BootClock.nowMillis() - arrivedMillis);
		response.send(head, Json.bytes(new ErrorBody(reason(failure))));
	}

	/**
	 * Returns the status of a final response.
	 */
	static int status(CallFailure failure) {
		return switch (failure) {
			case CallFailure.NotRun notRun -> HttpStatus.SC_SERVICE_UNAVAILABLE;
			case CallFailure.Indeterminate indeterminate ->
				indeterminate.timedOut() ? HttpStatus.SC_GATEWAY_TIMEOUT : HttpStatus.SC_BAD_GATEWAY;
			case CallFailure.ClientError clientError -> clientError.status();
		};
	}

	/**
	 * Returns the reason of a final response, for the log and the caller.
	 */
	static String reason(CallFailure failure) {
		return switch (failure) {
			case CallFailure.NotRun notRun -> notRun.reason();
			case CallFailure.Indeterminate indeterminate -> "unknown-" + indeterminate.reason();
			case CallFailure.ClientError clientError -> clientError.reason();
		};
	}

	static long retryAfterMillis(CallFailure failure) {
		return (failure instanceof CallFailure.NotRun notRun) ? notRun.retryAfterMillis() : 0;
	}

	/**
	 * Body of an error response.
	 *
	 * @param error reason of the {@link CallFailure}
	 */
	record ErrorBody(String error) {
	}

}
