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
 * Sends the final answers of the gateway itself. Status 503 says that the call has not
 * run, 502 and 504 that this is not known.
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
	 * Sends a final answer.
	 * @param arrivedMillis boot time at which the call was read
	 */
	void respond(CallerResponse reply, String callId, long arrivedMillis, CallFailure failure)
			throws CallerGoneException {
		ClassicHttpResponse head = new BasicClassicHttpResponse(status(failure));
		head.setHeader(HttpHeaders.CONTENT_TYPE, "application/json");
		if (failure instanceof CallFailure.NotRun notRun) {
			this.protocol.writeRetryAfter(head, notRun.retryAfterMillis());
		}
		this.metrics.counter("call.refused." + reason(failure)).inc();
		this.log.log(Event.CALL_REFUSED, "request", callId, "status", head.getCode(), "reason", reason(failure),
				"retryAfter", retryAfterMillis(failure), "millis", BootClock.nowMillis() - arrivedMillis);
		reply.send(head, Json.bytes(new ErrorBody(reason(failure))));
	}

	private static int status(CallFailure failure) {
		return switch (failure) {
			case CallFailure.NotRun notRun -> HttpStatus.SC_SERVICE_UNAVAILABLE;
			case CallFailure.Indeterminate unknown ->
				unknown.timedOut() ? HttpStatus.SC_GATEWAY_TIMEOUT : HttpStatus.SC_BAD_GATEWAY;
			case CallFailure.ClientError forbidden -> forbidden.status();
		};
	}

	private static String reason(CallFailure failure) {
		return switch (failure) {
			case CallFailure.NotRun notRun -> notRun.reason();
			case CallFailure.Indeterminate unknown -> "unknown-" + unknown.reason();
			case CallFailure.ClientError forbidden -> forbidden.reason();
		};
	}

	private static long retryAfterMillis(CallFailure failure) {
		return (failure instanceof CallFailure.NotRun notRun) ? notRun.retryAfterMillis() : 0;
	}

	/**
	 * Body of a refusal.
	 *
	 * @param error reason
	 */
	record ErrorBody(String error) {
	}

}
