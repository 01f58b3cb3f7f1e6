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
 * The router's side of the protocol between router and agent. It classifies how a
 * hand-over began by what is certain about it.
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
	 * Hands a call over.
	 * @param agent the agent
	 * @param call the call
	 * @param progress what was received of the answer so far
	 * @param timeoutMillis longest wait for the head of the reply
	 * @param listener called before the first byte is sent
	 */
	CallAttempt.Reply send(VmRecord agent, Call call, AnswerAssembler progress, long timeoutMillis,
			CallExecutor.Listener listener) throws InterruptedException {
		long startedMillis = this.clock.getAsLong();
		String incarnation;
		try {
			incarnation = incarnationOf(agent, timeoutMillis);
		}
		catch (IOException ex) {
			return new CallAttempt.Reply.NotSent("incarnation of the agent is not known: " + ex);
		}
		CallAttempt attempt = new CallAttempt(this.routerIncarnation, agent, incarnation,
				this.attemptNumbers.next(incarnation), call.requestId());
		listener.beforeAttempt(attempt);
		long remainingMillis = startedMillis + timeoutMillis - this.clock.getAsLong();
		if (remainingMillis <= 0) {
			return new CallAttempt.Reply.Refused(new Refusal(RefusalReason.DEADLINE, 0));
		}
		try {
			return classify(attempt, this.client.stream(request(attempt, call, progress, remainingMillis)));
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			return new CallAttempt.Reply.NotSent(ex.toString());
		}
		catch (IOException | BadInputException ex) {
			return new CallAttempt.Reply.Indeterminate(attempt, ex.toString());
		}
	}

	private String incarnationOf(VmRecord agent, long timeoutMillis) throws IOException, InterruptedException {
		String knownIncarnation = this.upstreams.incarnation(agent.address());
		if (knownIncarnation != null) {
			return knownIncarnation;
		}
		Duration timeout = Duration.ofMillis(Math.min(timeoutMillis, CONTROL_TIMEOUT.toMillis()));
		HttpResponse<byte[]> reply = this.client.get(agent.address().uri("/v1/configuration"), timeout);
		return reply.headers().firstValue(Headers.INCARNATION).map((incarnation) -> {
			this.upstreams.onIncarnation(agent.address(), incarnation);
			return incarnation;
		}).orElseThrow(() -> new IOException("reply " + reply.statusCode() + " without incarnation"));
	}

	private HttpRequest request(CallAttempt attempt, Call call, AnswerAssembler progress, long timeoutMillis) {
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
		if (progress.nextIndex() > 0) {
			request.setHeader(Headers.RESUME_FROM, Integer.toString(progress.nextIndex()))
				.setHeader(Headers.WEIGHTS, progress.requiredWeights());
		}
		return request.build();
	}

	private CallAttempt.Reply classify(CallAttempt attempt, HttpResponse<InputStream> reply) throws IOException {
		recordHeaders(attempt.agent(), reply);
		if (!matchesAttempt(attempt, reply)) {
			reply.body().close();
			return new CallAttempt.Reply.Indeterminate(attempt, "reply belongs to another hand-over");
		}
		if (reply.statusCode() == 200) {
			return new CallAttempt.Reply.Admitted(attempt, new FrameReader(reply.body(), creditGranter(attempt)));
		}
		try (InputStream body = reply.body()) {
			return switch (reply.statusCode()) {
				case 503 -> classifyRefusal(attempt, reply, body.readNBytes(MAX_REFUSAL_BYTES));
				// The credential is checked before anything of the call is read.
				case 401 -> new CallAttempt.Reply.NotSent("agent does not accept the credential");
				default -> new CallAttempt.Reply.Indeterminate(attempt, "agent answered " + reply.statusCode());
			};
		}
	}

	private CallAttempt.Reply classifyRefusal(CallAttempt attempt, HttpResponse<?> reply, byte[] body) {
		Refusal refusal = Json.read(body, Refusal.class);
		long generation = reply.headers().firstValueAsLong(Headers.GENERATION).orElse(0);
		return switch (refusal.refusal()) {
			// A repeat by the HTTP client was refused, so the first copy was admitted.
			case DUPLICATE -> new CallAttempt.Reply.Indeterminate(attempt, "hand-over arrived twice");
			case null -> new CallAttempt.Reply.Indeterminate(attempt, "refusal without reason");
			default -> {
				this.upstreams.onRefusal(attempt.agent().address(), refusal, generation, this.clock.getAsLong());
				yield new CallAttempt.Reply.Refused(refusal);
			}
		};
	}

	private void recordHeaders(VmRecord agent, HttpResponse<?> reply) {
		reply.headers()
			.firstValue(Headers.INCARNATION)
			.ifPresent((incarnation) -> this.upstreams.onIncarnation(agent.address(), incarnation));
		reply.headers()
			.firstValue(Headers.LOAD)
			.ifPresent((load) -> this.upstreams.onLoadReport(agent.address(), Json.read(load, LoadReport.class),
					this.clock.getAsLong()));
	}

	private static boolean matchesAttempt(CallAttempt attempt, HttpResponse<?> reply) {
		return reply.headers().firstValue(Headers.REQUEST_ID).map(attempt.requestId()::equals).orElse(true)
				&& reply.headers()
					.firstValue(Headers.ATTEMPT)
					.map(Long.toString(attempt.attempt())::equals)
					.orElse(true);
	}

	private LongConsumer creditGranter(CallAttempt attempt) {
		// Half a window at a time keeps the number of grants low without a pause.
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
	 * Asks the agent to end a call whose answer is no longer wanted. Best effort: the
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
				// A lost grant is made good by the next; the stream breaks if none
				// arrives.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	/**
	 * Voids a hand-over if it was not admitted, and asks what became of it otherwise.
	 * @param attempt the hand-over
	 * @param timeoutMillis longest wait
	 * @throws IOException if there is no usable answer
	 */
	FenceReply fence(CallAttempt attempt, long timeoutMillis) throws IOException, InterruptedException {
		FenceRequest request = new FenceRequest(attempt.router(), attempt.attempt(), attempt.agentIncarnation(),
				attempt.requestId());
		HttpResponse<byte[]> reply = this.client.post(attempt.agent().address().uri("/v1/fences"), request,
				Duration.ofMillis(Math.max(1, Math.min(timeoutMillis, CONTROL_TIMEOUT.toMillis()))));
		recordHeaders(attempt.agent(), reply);
		if (reply.statusCode() != 200) {
			throw new IOException("fence answered " + reply.statusCode());
		}
		try {
			return Json.read(reply.body(), FenceReply.class);
		}
		catch (BadInputException ex) {
			throw new IOException("malformed answer to a fence", ex);
		}
	}

}
