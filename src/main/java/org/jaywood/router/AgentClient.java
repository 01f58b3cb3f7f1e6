package org.jaywood.router;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.jaywood.store.VmRecord;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.CancelRequest;
import org.jaywood.wire.CreditGrant;
import org.jaywood.wire.FenceReply;
import org.jaywood.wire.FenceRequest;
import org.jaywood.wire.Headers;
import org.jaywood.wire.Json;
import org.jaywood.wire.LoadReport;
import org.jaywood.wire.Refusal;
import org.jaywood.wire.RefusalReason;
import org.jaywood.wire.WireClient;

/**
 * Client of the protocol between router and agent. It classifies the agent's response to
 * an attempt by what is known for certain: admitted, refused, not sent or indeterminate.
 */
final class AgentClient {

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_REFUSAL_BYTES = 4_096;

	private final WireClient client;

	private final String routerIncarnation;

	private final UpstreamTable upstreams;

	private final AttemptNumbers attemptNumbers = new AttemptNumbers();

	private final LongSupplier clock;

	private final int windowBytes;

	private final Executor controlExecutor = Executors.newVirtualThreadPerTaskExecutor();

	AgentClient(WireClient client, String routerIncarnation, UpstreamTable upstreams, LongSupplier clock,
			int windowBytes) {
		this.client = client;
		this.routerIncarnation = routerIncarnation;
		this.upstreams = upstreams;
		this.clock = clock;
		this.windowBytes = windowBytes;
	}

	/**
	 * Sends a call to an agent.
	 * @param agent the agent
	 * @param call the call
	 * @param assembler holds the part of the answer received so far
	 * @param timeoutMillis longest wait for the response headers
	 * @param listener called before the first byte is sent
	 * @return what is known about the attempt
	 */
	CallAttempt.SendResult send(VmRecord agent, Call call, AnswerAssembler assembler, long timeoutMillis,
			CallExecutor.Listener listener) throws InterruptedException {
		long startedMillis = this.clock.getAsLong();
		String incarnation;
		try {
			incarnation = incarnationOf(agent, timeoutMillis);
		}
		catch (IOException ex) {
			return new CallAttempt.SendResult.NotSent(
					"cannot read the incarnation of agent " + agent.address() + ": " + ex);
		}
		CallAttempt attempt = new CallAttempt(this.routerIncarnation, agent, incarnation,
				this.attemptNumbers.next(incarnation), call.requestId());
		listener.beforeAttempt(attempt);
		long remainingMillis = startedMillis + timeoutMillis - this.clock.getAsLong();
		if (remainingMillis <= 0) {
			return new CallAttempt.SendResult.Refused(new Refusal(RefusalReason.DEADLINE, 0));
		}
		try {
			return classify(attempt, this.client.stream(request(attempt, call, assembler, remainingMillis)));
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			return new CallAttempt.SendResult.NotSent(ex.toString());
		}
		catch (IOException | BadInputException ex) {
			return new CallAttempt.SendResult.Indeterminate(attempt, ex.toString());
		}
	}

	private String incarnationOf(VmRecord agent, long timeoutMillis) throws IOException, InterruptedException {
		String knownIncarnation = this.upstreams.incarnation(agent.address());
		if (knownIncarnation != null) {
			return knownIncarnation;
		}
		Duration timeout = Duration.ofMillis(Math.min(timeoutMillis, CONTROL_TIMEOUT.toMillis()));
		HttpResponse<byte[]> response = this.client.get(agent.address().uri("/v1/configuration"), timeout);
		return response.headers().firstValue(Headers.INCARNATION).map((incarnation) -> {
			this.upstreams.onIncarnation(agent.address(), incarnation);
			return incarnation;
		})
			.orElseThrow(() -> new IOException(
					"response " + response.statusCode() + " has no header " + Headers.INCARNATION));
	}

	private HttpRequest request(CallAttempt attempt, Call call, AnswerAssembler assembler, long timeoutMillis) {
		HttpRequest.Builder request = this.client
			.request(attempt.agent().address().uri("/v1/calls"), Duration.ofMillis(timeoutMillis))
			.setHeader(Headers.REQUEST_ID, call.requestId())
			.setHeader(Headers.ATTEMPT, Long.toString(attempt.attempt()))
			.setHeader(Headers.EXPECTED_INCARNATION, attempt.agentIncarnation())
			.setHeader(Headers.SERVICE, call.service())
			.setHeader(Headers.WORKSPACE, call.workspace())
			.setHeader(Headers.PRIORITY, Integer.toString(call.priority()))
			.setHeader(Headers.REMAINING_MILLIS, Long.toString(timeoutMillis))
			.POST(BodyPublishers.ofByteArray(call.body()));
		Call.Target target = call.target();
		if (target != null) {
			request.setHeader(Headers.METHOD, target.method()).setHeader(Headers.PATH, target.path());
		}
		if (assembler.nextIndex() > 0) {
			request.setHeader(Headers.RESUME_FROM, Integer.toString(assembler.nextIndex()))
				.setHeader(Headers.WEIGHTS, assembler.requiredWeightsDigest());
		}
		return request.build();
	}

	private CallAttempt.SendResult classify(CallAttempt attempt, HttpResponse<InputStream> response)
			throws IOException {
		recordHeaders(attempt.agent(), response);
		if (!matchesAttempt(attempt, response)) {
			response.body().close();
			return new CallAttempt.SendResult.Indeterminate(attempt,
					"response belongs to another attempt, expected attempt " + attempt.attempt() + " of request "
							+ attempt.requestId());
		}
		if (response.statusCode() == 200) {
			return new CallAttempt.SendResult.Admitted(attempt,
					new FrameReader(response.body(), creditGranter(attempt)));
		}
		try (InputStream body = response.body()) {
			return switch (response.statusCode()) {
				case 503 -> classifyRefusal(attempt, response, body.readNBytes(MAX_REFUSAL_BYTES));
				// The agent checks the credential before it reads any part of the call.
				case 401 -> new CallAttempt.SendResult.NotSent("agent rejected the credential");
				default -> new CallAttempt.SendResult.Indeterminate(attempt,
						"agent responded with unexpected status " + response.statusCode());
			};
		}
	}

	private CallAttempt.SendResult classifyRefusal(CallAttempt attempt, HttpResponse<?> response, byte[] body) {
		Refusal refusal = Json.read(body, Refusal.class);
		long generation = response.headers().firstValueAsLong(Headers.GENERATION).orElse(0);
		return switch (refusal.refusal()) {
			// The HTTP client repeated the request; the refusal of the repeat shows that
			// the first one was admitted.
			case DUPLICATE -> new CallAttempt.SendResult.Indeterminate(attempt,
					"agent received attempt " + attempt.attempt() + " twice");
			case null -> new CallAttempt.SendResult.Indeterminate(attempt, "refusal without a reason");
			default -> {
				this.upstreams.onRefusal(attempt.agent().address(), refusal, generation, this.clock.getAsLong());
				yield new CallAttempt.SendResult.Refused(refusal);
			}
		};
	}

	private void recordHeaders(VmRecord agent, HttpResponse<?> response) {
		response.headers()
			.firstValue(Headers.INCARNATION)
			.ifPresent((incarnation) -> this.upstreams.onIncarnation(agent.address(), incarnation));
		response.headers()
			.firstValue(Headers.LOAD)
			.ifPresent((load) -> this.upstreams.onLoadReport(agent.address(), Json.read(load, LoadReport.class),
					this.clock.getAsLong()));
	}

	private static boolean matchesAttempt(CallAttempt attempt, HttpResponse<?> response) {
		return response.headers().firstValue(Headers.REQUEST_ID).map(attempt.requestId()::equals).orElse(true)
				&& response.headers()
					.firstValue(Headers.ATTEMPT)
					.map(Long.toString(attempt.attempt())::equals)
					.orElse(true);
	}

	private LongConsumer creditGranter(CallAttempt attempt) {
		// Grants of at least half a window keep their number low, and the agent still
		// never waits for credit.
		long[] granted = { CreditGrant.INITIAL_CREDIT_BYTES };
		return (readBytes) -> {
			if (granted[0] - readBytes <= this.windowBytes / 2) {
				granted[0] = readBytes + this.windowBytes;
				postControl(attempt, "/v1/calls/credit",
						new CreditGrant(attempt.requestId(), attempt.attempt(), granted[0]));
			}
		};
	}

	/**
	 * Asks the agent to cancel a call whose answer is no longer needed. Best effort: the
	 * call ends at its deadline in any case.
	 */
	void cancel(CallAttempt attempt) {
		postControl(attempt, "/v1/calls/cancel", new CancelRequest(attempt.requestId(), attempt.attempt()));
	}

	private void postControl(CallAttempt attempt, String path, Object message) {
		this.controlExecutor.execute(() -> {
			try {
				this.client.post(attempt.agent().address().uri(path), message, CONTROL_TIMEOUT);
			}
			catch (IOException ex) {
				// The next grant also covers a lost one; the stream fails if none
				// arrives.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	/**
	 * Fences an attempt: if the agent has not admitted it, the agent never will;
	 * otherwise the agent returns its state.
	 * @param attempt the attempt
	 * @param timeoutMillis longest wait
	 * @return the state of the attempt
	 * @throws IOException if there is no usable response
	 */
	FenceReply fence(CallAttempt attempt, long timeoutMillis) throws IOException, InterruptedException {
		FenceRequest request = new FenceRequest(attempt.router(), attempt.attempt(), attempt.agentIncarnation(),
				attempt.requestId());
		HttpResponse<byte[]> response = this.client.post(attempt.agent().address().uri("/v1/fences"), request,
				Duration.ofMillis(Math.max(1, Math.min(timeoutMillis, CONTROL_TIMEOUT.toMillis()))));
		recordHeaders(attempt.agent(), response);
		if (response.statusCode() != 200) {
			throw new IOException("agent responded to a fence with status " + response.statusCode() + ", expected 200");
		}
		try {
			return Json.read(response.body(), FenceReply.class);
		}
		catch (BadInputException ex) {
			throw new IOException("malformed response to a fence", ex);
		}
	}

}
