package org.jaywood.cli;

import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.jspecify.annotations.Nullable;

import org.jaywood.gateway.CallExplanation;
import org.jaywood.gateway.ExplainRequest;
import org.jaywood.routing.PlacementExplanation;
import org.jaywood.routing.UpstreamExplanation;
import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * Command that asks a gateway how a call arriving now would be handled.
 */
@Parameters(commandDescription = "Prints where a gateway would send a call now, and why, without sending it")
@SuppressWarnings("NullAway.Init")
final class ExplainCommand implements Command {

	/** Time for the whole answer. */
	private static final long ANSWER_MILLIS = 2_000;

	private static final String LATE = "did not answer within " + ANSWER_MILLIS + " ms";

	/** Maximum length of an error body that is printed. */
	private static final int MAX_ERROR_CHARS = 300;

	private static final double MILLIS_PER_SECOND = 1_000;

	@Parameter(description = "ADDRESS", required = true, converter = Converters.AddressConverter.class)
	private List<Address> addresses = new ArrayList<>();

	@Parameter(names = "--route", required = true, description = "Name of the route, or host and path of the call")
	private String route;

	@Parameter(names = "--workspace", description = "Workspace of the caller")
	private @Nullable String workspace;

	@Parameter(names = "--key",
			description = "API key of the caller, instead of --workspace; prefer the environment variable JAYWOOD_KEY, "
					+ "since arguments are visible to other users")
	private @Nullable String key;

	@Parameter(names = "--priority", description = "Priority, if not that of the workspace or route")
	private @Nullable Integer priority;

	@Parameter(names = "--prompt-tokens", description = "Tokens of the prompt; 0 if unknown")
	private int promptTokens;

	@Parameter(names = "--answer-tokens", description = "Most tokens of the answer; 0 if unknown")
	private int answerTokens;

	@Parameter(names = "--remaining-millis",
			description = "Time that the caller has left, in milliseconds, if not the time-out of the route")
	private @Nullable Long remainingMillis;

	@Parameter(names = "--part", description = "Id of a part of the prompt, as in blockedParts of the dump; repeatable")
	private List<String> parts = new ArrayList<>();

	@Parameter(names = "--json", description = "Prints the answer of the gateway as JSON")
	private boolean json;

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public int run() throws InterruptedException {
		if (this.workspace != null && this.key != null) {
			throw new ParameterException("--workspace and --key (or JAYWOOD_KEY) exclude each other");
		}
		Address address = this.addresses.getFirst();
		try {
			byte[] answer = ask(address);
			CallExplanation explanation = Json.read(answer, CallExplanation.class);
			System.out.println(this.json ? new String(answer, StandardCharsets.UTF_8) : describe(explanation));
			return 0;
		}
		catch (NoAnswerException ex) {
			System.err.println("jaywood: gateway " + address + " " + ex.getMessage());
		}
		catch (BadInputException ex) {
			System.err.println("jaywood: gateway " + address + " sent a malformed response");
		}
		return Jaywood.EXIT_USAGE;
	}

	/**
	 * Asks the gateway. The client's time-out covers only the response head, so
	 * {@code Future.get} limits the whole exchange.
	 */
	private byte[] ask(Address address) throws NoAnswerException, InterruptedException {
		ExplainRequest question = new ExplainRequest(this.route, this.workspace, this.key, this.priority,
				this.promptTokens, this.answerTokens, this.remainingMillis, this.parts);
		ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
		try {
			Future<HttpResponse<byte[]>> response = executor.submit(() -> WireClient.plain(null)
				.post(address.uri("/v1/explain"), question, Duration.ofMillis(ANSWER_MILLIS)));
			HttpResponse<byte[]> answer = response.get(ANSWER_MILLIS, TimeUnit.MILLISECONDS);
			if (answer.statusCode() != 200) {
				String body = new String(answer.body(), StandardCharsets.UTF_8);
				throw new NoAnswerException("answered with status " + answer.statusCode() + ": "
						+ body.substring(0, Math.min(body.length(), MAX_ERROR_CHARS)).strip());
			}
			return answer.body();
		}
		catch (TimeoutException ex) {
			throw new NoAnswerException(LATE);
		}
		catch (ExecutionException ex) {
			throw new NoAnswerException(
					(ex.getCause() instanceof HttpTimeoutException) ? LATE : "request failed: " + ex.getCause());
		}
		finally {
			executor.shutdownNow();
		}
	}

	static String describe(CallExplanation explanation) {
		List<String> lines = new ArrayList<>();
		lines.add("gateway " + explanation.gateway() + " configuration " + explanation.configuration() + " route "
				+ orDash(explanation.route()) + " workspace " + orDash(explanation.workspace()) + " priority "
				+ explanation.priority()
				+ (explanation.regions().isEmpty() ? "" : " regions " + String.join(",", explanation.regions()))
				+ (explanation.late() ? " late" : ""));
		if (explanation.refusal() != null) {
			lines.add(describe(explanation.refusal()));
		}
		explanation.services().forEach((service) -> {
			lines.add("service " + service.service() + " weight " + service.weight() + ": " + describe(service));
			service.placement()
				.upstreams()
				.forEach((upstream) -> lines.add(describe(upstream, service.placement().upstream())));
		});
		return String.join(System.lineSeparator(), lines);
	}

	private static String describe(CallExplanation.Refusal refusal) {
		String retry = (refusal.status() == 503)
				? String.format(Locale.ROOT, ", Retry-After %.3f", refusal.retryAfterMillis() / MILLIS_PER_SECOND) : "";
		return "refused with status " + refusal.status() + ", " + refusal.reason() + retry;
	}

	private static String describe(CallExplanation.ServiceExplanation service) {
		PlacementExplanation placement = service.placement();
		if (service.refusal() != null) {
			return describe(service.refusal());
		}
		return (placement.upstream() != null)
				? "placed on " + placement.upstream() + ", spillover " + placement.spillover()
				: String.format(Locale.ROOT,
						"queued for %d ms at most, behind %d of %d queued calls, held back %.2f slots, "
								+ "Retry-After %.3f if it is refused then",
						service.waitMillis(), placement.queuedAhead(), placement.queuedCalls(),
						placement.heldBackSlots(), placement.retryAfterMillis() / MILLIS_PER_SECOND);
	}

	private static String describe(UpstreamExplanation upstream, @Nullable String chosen) {
		String excluded = (upstream.excluded() != null) ? upstream.excluded().name().toLowerCase(Locale.ROOT)
				: "eligible";
		return String.format(Locale.ROOT, "  %s %s %s load %.1f of %.1f cost %.3f %s%s", upstream.id(),
				upstream.dataCentre(), upstream.region(), upstream.load(), upstream.capacity(), upstream.cost(),
				upstream.id().equals(chosen) ? "chosen" : excluded,
				(upstream.unavailableMillis() > 0) ? " for " + upstream.unavailableMillis() + " ms" : "");
	}

	private static String orDash(@Nullable String text) {
		return (text != null) ? text : "-";
	}

	/**
	 * The gateway gave no usable answer.
	 */
	private static final class NoAnswerException extends Exception {

		NoAnswerException(String message) {
			super(message);
		}

	}

}
