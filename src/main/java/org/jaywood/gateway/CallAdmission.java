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
 * Decides whether the configuration allows a call, and whether it is recent enough for
 * that decision: if it is stale, a key may have been revoked, and the call is refused as
 * not run.
 */
final class CallAdmission {

	private static final long UNKNOWN_CONFIGURATION_RETRY_MILLIS = 1_000;

	private static final long STALE_CONFIGURATION_RETRY_MILLIS = 1_000;

	/**
	 * Share of the target latency: a time-out that is shorter than the longest one by
	 * more than this marks a retry of the caller, which is late.
	 */
	private static final double LATE_TARGET_SHARE = 0.5;

	private static final Decision UNKNOWN_CONFIGURATION = new Decision.Refused(
			new CallFailure.NotRun("configuration-unknown", UNKNOWN_CONFIGURATION_RETRY_MILLIS));

	private final CallProtocol protocol;

	private final long keyLifetimeMillis;

	private final long routeLifetimeMillis;

	/** The longest time-out that callers have sent, by name of the route. */
	private final Map<String, Long> longestTimeoutMillis = new ConcurrentHashMap<>();

	/**
	 * Creates the check.
	 * @param protocol reads the headers of a call
	 * @param keyLifetimeMillis age of the configuration up to which a key is accepted
	 * @param routeLifetimeMillis age up to which a missing route or key is reported as
	 * missing; beyond it the call is refused as not run
	 */
	CallAdmission(CallProtocol protocol, long keyLifetimeMillis, long routeLifetimeMillis) {
		this.protocol = protocol;
		this.keyLifetimeMillis = keyLifetimeMillis;
		this.routeLifetimeMillis = routeLifetimeMillis;
	}

	/**
	 * Decides whether a request is allowed.
	 * @param table configuration, or null if none is known
	 * @param confirmedMillis boot time up to which it is known to be in force
	 * @param nowMillis present boot time, taken after the request was read
	 */
	Decision decide(BufferedRequest request, @Nullable RouteTable table, long confirmedMillis, long nowMillis) {
		if (table == null) {
			return UNKNOWN_CONFIGURATION;
		}
		CallHead head = this.protocol.read(request.head());
		String host = String.valueOf(request.head().getFirstHeader(HttpHeaders.HOST).getValue());
		Route route = table.route(hostName(host), request.head().getRequestUri()).orElse(null);
		if (route == null) {
			return refuseUnknown(HttpStatus.SC_NOT_FOUND, "no-route", nowMillis - confirmedMillis);
		}
		Workspace workspace = (head.key() != null) ? table.workspace(head.key()).orElse(null) : null;
		Decision decision = decide(request, head, route, workspace, table, confirmedMillis, nowMillis);
		if (decision instanceof Decision.Admitted) {
			this.longestTimeoutMillis.merge(route.name(), timeoutMillis(head, route), Math::max);
		}
		return decision;
	}

	/**
	 * Returns the decision about a request to a route, or to none, without recording its
	 * time-out.
	 * @param workspace workspace of its key, or null if the key is unknown
	 * @param table configuration, or null if none is known
	 */
	Decision preview(BufferedRequest request, CallHead head, @Nullable Route route, @Nullable Workspace workspace,
			@Nullable RouteTable table, long confirmedMillis, long nowMillis) {
		if (table == null) {
			return UNKNOWN_CONFIGURATION;
		}
		return (route != null) ? decide(request, head, route, workspace, table, confirmedMillis, nowMillis)
				: refuseUnknown(HttpStatus.SC_NOT_FOUND, "no-route", nowMillis - confirmedMillis);
	}

	private Decision decide(BufferedRequest request, CallHead head, Route route, @Nullable Workspace workspace,
			RouteTable table, long confirmedMillis, long nowMillis) {
		boolean keyRequired = table.keysRequired() && !route.keyless();
		if (!keyRequired) {
			return new Decision.Admitted(call(request, head, route, null, table, nowMillis));
		}
		long ageMillis = nowMillis - confirmedMillis;
		if (ageMillis > this.keyLifetimeMillis) {
			return new Decision.Refused(
					new CallFailure.NotRun("configuration-stale", STALE_CONFIGURATION_RETRY_MILLIS));
		}
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
		long timeoutMillis = timeoutMillis(head, route);
		long longestMillis = Math.max(timeoutMillis, this.longestTimeoutMillis.getOrDefault(route.name(), 0L));
		long spentMillis = longestMillis - timeoutMillis;
		boolean late = spentMillis > route.targetMillis() * LATE_TARGET_SHARE;
		CallDeadline deadline = new CallDeadline(callerDeadlineMillis(head, nowMillis),
				nowMillis + route.timeoutMillis());
		return new Call(head.callId(), request, route, route.serviceFor(head.callId()), workspace, table.keysRequired(),
				nowMillis, nowMillis + route.targetMillis() - spentMillis, deadline, late, table.version(), head.cost(),
				head.sharedParts(), head.lastEventId());
	}

	private static long timeoutMillis(CallHead head, Route route) {
		return head.timeoutMillis().orElse(route.timeoutMillis());
	}

	private static long callerDeadlineMillis(CallHead head, long nowMillis) {
		return head.timeoutMillis().isPresent() ? nowMillis + head.timeoutMillis().getAsLong() : Long.MAX_VALUE;
	}

	/**
	 * Returns a host without its port.
	 */
	static String hostName(String host) {
		int colon = host.lastIndexOf(':');
		return (colon > 0) ? host.substring(0, colon) : host;
	}

	/**
	 * Either the admitted call or the reason of its refusal.
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
		 * The call is not sent to an upstream.
		 *
		 * @param failure final response to the caller
		 */
		record Refused(CallFailure failure) implements Decision {
		}

	}

}
