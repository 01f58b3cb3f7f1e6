package org.jaywood.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.http.BufferedRequest;
import org.jaywood.routing.Route;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.Workspace;

/**
 * Decides whether a call is allowed by the configuration, and whether the configuration
 * is known well enough to say so: a gateway that cannot tell whether a key was taken away
 * refuses the call as not run instead of guessing.
 */
final class CallAdmission {

	private static final long UNKNOWN_CONFIGURATION_RETRY_MILLIS = 1_000;

	private static final long STALE_CONFIGURATION_RETRY_MILLIS = 1_000;

	/**
	 * Part of the target by which a deadline falls short of the usual one for a repeat.
	 */
	private static final double LATE_TARGET_SHARE = 0.5;

	private final CallProtocol protocol;

	private final long keyLifetimeMillis;

	private final long routeLifetimeMillis;

	private final Map<String, Long> longestTimeoutMillis = new ConcurrentHashMap<>();

	/**
	 * Creates the check.
	 * @param protocol names of the protocol
	 * @param keyLifetimeMillis age of the configuration up to which a key is accepted
	 * @param routeLifetimeMillis age up to which a missing route or key is reported as
	 * such
	 */
	CallAdmission(CallProtocol protocol, long keyLifetimeMillis, long routeLifetimeMillis) {
		this.protocol = protocol;
		this.keyLifetimeMillis = keyLifetimeMillis;
		this.routeLifetimeMillis = routeLifetimeMillis;
	}

	/**
	 * Decides on a request.
	 * @param table configuration, or null if none is known
	 * @param confirmedMillis boot time up to which it is known to be in force
	 * @param nowMillis present boot time, taken after the request was read
	 */
	Decision decide(BufferedRequest request, @Nullable RouteTable table, long confirmedMillis, long nowMillis) {
		if (table == null) {
			return new Decision.Refused(
					new CallFailure.NotRun("configuration-unknown", UNKNOWN_CONFIGURATION_RETRY_MILLIS));
		}
		long ageMillis = nowMillis - confirmedMillis;
		CallHead head = this.protocol.read(request.head());
		String host = String.valueOf(request.head().getFirstHeader(HttpHeaders.HOST).getValue());
		Route route = table.route(hostName(host), request.head().getRequestUri()).orElse(null);
		if (route == null) {
			return refuseUnknown(HttpStatus.SC_NOT_FOUND, "no-route", ageMillis);
		}
		boolean keyNeeded = table.keysRequired() && !route.open();
		if (!keyNeeded) {
			return new Decision.Admitted(call(request, head, route, null, table, nowMillis));
		}
		if (ageMillis > this.keyLifetimeMillis) {
			return new Decision.Refused(
					new CallFailure.NotRun("configuration-stale", STALE_CONFIGURATION_RETRY_MILLIS));
		}
		Workspace workspace = (head.key() != null) ? table.workspace(head.key()).orElse(null) : null;
		if (workspace == null) {
			return refuseUnknown(HttpStatus.SC_UNAUTHORIZED, "unknown-key", ageMillis);
		}
		return new Decision.Admitted(call(request, head, route, workspace, table, nowMillis));
	}

	private Decision refuseUnknown(int status, String reason, long ageMillis) {
		return new Decision.Refused(
				(ageMillis <= this.routeLifetimeMillis) ? new CallFailure.ClientError(status, reason)
						: new CallFailure.NotRun("configuration-stale", STALE_CONFIGURATION_RETRY_MILLIS));
	}

	private Call call(BufferedRequest request, CallHead head, Route route, @Nullable Workspace workspace,
			RouteTable table, long nowMillis) {
		long deadlineMillis = head.deadlineMillis().orElse(route.timeoutMillis());
		long usualMillis = this.longestTimeoutMillis.merge(route.name(), deadlineMillis, Math::max);
		long spentMillis = usualMillis - deadlineMillis;
		boolean late = spentMillis > route.targetMillis() * LATE_TARGET_SHARE;
		long endMillis = nowMillis + Math.min(deadlineMillis, route.timeoutMillis());
		return new Call(head.callId(), request, route, route.serviceFor(head.callId()), workspace, table.keysRequired(),
				nowMillis, nowMillis + route.targetMillis() - spentMillis, endMillis, late, table.version());
	}

	private static String hostName(String host) {
		int colon = host.lastIndexOf(':');
		return (colon > 0) ? host.substring(0, colon) : host;
	}

	/**
	 * Either a call or the reason against it.
	 */
	sealed interface Decision {

		/**
		 * The call is allowed.
		 *
		 * @param call the call
		 */
		record Admitted(Call call) implements Decision {
		}

		/**
		 * The call is not handed over.
		 *
		 * @param failure its final answer
		 */
		record Refused(CallFailure failure) implements Decision {
		}

	}

}
