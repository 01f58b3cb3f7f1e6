package org.jaywood.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedRequest;
import org.jaywood.routing.CallCost;
import org.jaywood.routing.CallRequirements;
import org.jaywood.routing.PlacementExplanation;
import org.jaywood.routing.Route;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceShare;
import org.jaywood.routing.Workspace;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Exchange;

/**
 * Explains to an operator how a call arriving now would be handled, without sending it.
 * Admission, shutdown, the screen of prompts and the dispatcher decide as for a call,
 * without a change of state. Safe for use by several threads.
 */
final class CallExplainer {

	/** Path at which the operator port takes the question. */
	static final String PATH = "/v1/explain";

	private static final int MAX_REQUEST_BYTES = 64 * 1024;

	/** Id of the call, which is never sent. */
	private static final String CALL_ID = "explain";

	private final GatewayContext context;

	private final CallerConnections connections;

	CallExplainer(GatewayContext context, CallerConnections connections) {
		this.context = context;
		this.connections = connections;
	}

	/**
	 * Answers a question at the operator port.
	 */
	void handle(Exchange exchange) throws IOException {
		this.context.metrics().counter("explain").inc();
		exchange.respondJson(200, explain(read(exchange), BootClock.nowMillis()));
	}

	/**
	 * Reads a question. The message of the JSON parser may quote what it could not read,
	 * and that may be a key, so it is not passed on.
	 */
	private static ExplainRequest read(Exchange exchange) throws IOException {
		ExplainRequest request;
		try {
			request = exchange.readJson(ExplainRequest.class, MAX_REQUEST_BYTES);
		}
		catch (BadInputException ex) {
			throw new BadInputException(ex.status(), "malformed request");
		}
		if (request.route() == null || request.route().isEmpty()) {
			throw new BadInputException(400, "route is missing");
		}
		if (request.workspace() != null && request.key() != null) {
			throw new BadInputException(400, "workspace and key exclude each other");
		}
		if (request.parts() != null && request.parts().stream().anyMatch(Objects::isNull)) {
			throw new BadInputException(400, "parts contains null");
		}
		requireNotNegative("promptTokens", request.promptTokens());
		requireNotNegative("answerTokens", request.answerTokens());
		requireNotNegative("remainingMillis", request.remainingMillis());
		requireNotNegative("priority", request.priority());
		return request;
	}

	private static void requireNotNegative(String name, @Nullable Number value) {
		if (value != null && value.longValue() < 0) {
			throw new BadInputException(400, name + " is negative");
		}
	}

	/**
	 * Explains a call.
	 */
	CallExplanation explain(ExplainRequest question, long nowMillis) {
		StoreCache storeCache = this.context.storeCache();
		RouteTable table = storeCache.table();
		Route route = (table != null) ? route(table, question.route()) : null;
		Workspace workspace = (table != null) ? workspace(table, question) : null;
		OptionalLong remainingMillis = (question.remainingMillis() != null)
				? OptionalLong.of(question.remainingMillis()) : OptionalLong.empty();
		CallHead head = new CallHead(CALL_ID, null, remainingMillis,
				new CallCost(question.promptTokens(), question.answerTokens()),
				(question.parts() != null) ? Set.copyOf(question.parts()) : Set.of(), null);
		BufferedRequest request = new BufferedRequest(new BasicClassicHttpRequest("POST", "/"), new byte[0]);
		CallAdmission.Decision decision = this.connections.admission()
			.preview(request, head, route, workspace, table, storeCache.confirmedMillis(), nowMillis);
		return switch (decision) {
			case CallAdmission.Decision.Refused refused ->
				new CallExplanation(this.context.settings().vm(), (table != null) ? table.version() : -1,
						(route != null) ? route.name() : null, (workspace != null) ? workspace.name() : null,
						priority(question, workspace, route), Set.of(), false, refusal(refused.failure()), List.of());
			case CallAdmission.Decision.Admitted admitted -> {
				Call call = admitted.call();
				yield explain(call, priority(question, call.workspace(), call.route()), nowMillis);
			}
		};
	}

	/**
	 * Returns the priority of a call: that of the request, or else that of the call.
	 * @param workspace its workspace, or null if it has none
	 */
	private static int priority(ExplainRequest question, @Nullable Workspace workspace, @Nullable Route route) {
		if (question.priority() != null) {
			return question.priority();
		}
		return Call.priority(workspace, (route != null) ? route.priority() : 0);
	}

	/**
	 * Finds a route by its name, or by host and path. A port is ignored, as for a call.
	 */
	private static @Nullable Route route(RouteTable table, String text) {
		int slash = text.indexOf('/');
		return ((slash > 0) ? table.route(CallAdmission.hostName(text.substring(0, slash)), text.substring(slash))
				: table.routeNamed(text))
			.orElse(null);
	}

	private static @Nullable Workspace workspace(RouteTable table, ExplainRequest question) {
		if (question.key() != null) {
			return table.workspace(question.key()).orElse(null);
		}
		return (question.workspace() != null) ? table.workspaceNamed(question.workspace()).orElse(null) : null;
	}

	private CallExplanation explain(Call call, int priority, long nowMillis) {
		Workspace workspace = call.workspace();
		CallFailure refusal = refusal(call, nowMillis);
		Call limited = call.withShutdown(() -> this.connections.shutdown().answerDeadlineMillis());
		return new CallExplanation(this.context.settings().vm(), call.tableVersion(), call.route().name(),
				(workspace != null) ? workspace.name() : null, priority, call.regions(), call.late(),
				(refusal != null) ? refusal(refusal) : null,
				(refusal != null) ? List.of()
						: shares(call.route()).stream()
							.map((share) -> explain(limited, share, priority, nowMillis))
							.toList());
	}

	/**
	 * Returns the final response to a call whatever the upstreams, or null if it may be
	 * sent.
	 */
	private @Nullable CallFailure refusal(Call call, long nowMillis) {
		if (!this.connections.shutdown().hasTimeFor(call, nowMillis)) {
			return RequestHandler.LEAVING;
		}
		OptionalLong blockedMillis = this.context.screen().retryAfterMillis(call.sharedParts(), nowMillis);
		return blockedMillis.isPresent() ? new CallFailure.NotRun(CallAttempts.BLOCKED_PARTS, blockedMillis.getAsLong())
				: null;
	}

	/**
	 * Returns the services that get calls of a route.
	 */
	private static List<ServiceShare> shares(Route route) {
		List<ServiceShare> weighted = route.shares().stream().filter((share) -> share.weight() > 0).toList();
		return weighted.isEmpty() ? List.of(route.shares().getLast()) : weighted;
	}

	private CallExplanation.ServiceExplanation explain(Call call, ServiceShare share, int priority, long nowMillis) {
		Workspace workspace = call.workspace();
		CallRequirements requirements = new CallRequirements(call.id(), share.service(), call.regions(),
				(workspace != null) ? workspace.name() : "", priority, call.queueClass(),
				call.route().policy().streaming(), call.cost(), OptionalLong.empty(), Set.of());
		long waitMillis = QueueDeadline.queueDeadlineMillis(call, nowMillis) - nowMillis;
		PlacementExplanation placement = this.context.dispatcher()
			.explain(requirements, waitMillis, call.remainingMillis(nowMillis), nowMillis);
		CallExplanation.Refusal refusal = (placement.refusal() != null)
				? refusal(new CallFailure.NotRun(placement.refusal().reason(), placement.retryAfterMillis())) : null;
		CallExplanation.Result result = (placement.upstream() != null) ? CallExplanation.Result.PLACED
				: CallExplanation.Result.QUEUED;
		return new CallExplanation.ServiceExplanation(share.service(), share.weight(),
				(refusal != null) ? CallExplanation.Result.REFUSED : result, refusal, waitMillis, placement);
	}

	private static CallExplanation.Refusal refusal(CallFailure failure) {
		return new CallExplanation.Refusal(ErrorResponder.status(failure), ErrorResponder.reason(failure),
				ErrorResponder.retryAfterMillis(failure));
	}

}
