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

	private static final int REFUSAL_LIMIT_BYTES = 4_096;

	private final WireClient client;

	private final String routerIncarnation;

	private final UpstreamTable table;

	private final AttemptNumbers attempts = new AttemptNumbers();

	private final LongSupplier clock;

	private final int windowBytes;

	private final Executor controls = Executors.newVirtualThreadPerTaskExecutor();

	AgentClient(WireClient client, String routerIncarnation, UpstreamTable table, LongSupplier clock, int windowBytes) {
		this.client = client;
		this.routerIncarnation = routerIncarnation;
		this.table = table;
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
	CallAttempt.Reply handOver(VmRecord agent, Call call, AnswerAssembler progress, long timeoutMillis,
			CallExecutor.Listener listener) throws InterruptedException {
		long startMillis = this.clock.getAsLong();
		String incarnation;
		try {
			incarnation = incarnationOf(agent, timeoutMillis);
		}
		catch (IOException ex) {
			return new CallAttempt.Reply.NotSent("incarnation of the agent is not known: " + ex);
		}
		CallAttempt handOver = new CallAttempt(this.routerIncarnation, agent, incarnation,
				this.attempts.next(incarnation), call.requestId());
		listener.beforeAttempt(handOver);
		long leftMillis = startMillis + timeoutMillis - this.clock.getAsLong();
		if (leftMillis <= 0) {
			return new CallAttempt.Reply.Refused(new Refusal(RefusalReason.DEADLINE, 0));
		}
		try {
			return classify(handOver, this.client.stream(request(handOver, call, progress, leftMillis)));
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			return new CallAttempt.Reply.NotSent(ex.toString());
		}
		catch (IOException | BadInputException ex) {
			return new CallAttempt.Reply.Indeterminate(handOver, ex.toString());
		}
	}

	private String incarnationOf(VmRecord agent, long timeoutMillis) throws IOException, InterruptedException {
		String known = this.table.incarnation(agent.address());
		if (known != null) {
			return known;
		}
		Duration timeout = Duration.ofMillis(Math.min(timeoutMillis, CONTROL_TIMEOUT.toMillis()));
		HttpResponse<byte[]> reply = this.client.get(agent.address().uri("/v1/configuration"), timeout);
		return reply.headers().firstValue(Headers.INCARNATION).map((incarnation) -> {
			this.table.onIncarnation(agent.address(), incarnation);
			return incarnation;
		}).orElseThrow(() -> new IOException("reply " + reply.statusCode() + " without incarnation"));
	}

	private HttpRequest request(CallAttempt handOver, Call call, AnswerAssembler progress, long timeoutMillis) {
		HttpRequest.Builder request = this.client
			.request(handOver.agent().address().uri("/v1/calls"), Duration.ofMillis(timeoutMillis))
			.setHeader(Headers.REQUEST_ID, call.requestId())
			.setHeader(Headers.ATTEMPT, Long.toString(handOver.attempt()))
			.setHeader(Headers.EXPECTED_INCARNATION, handOver.agentIncarnation())
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

	private CallAttempt.Reply classify(CallAttempt handOver, HttpResponse<InputStream> reply) throws IOException {
		learn(handOver.agent(), reply);
		if (!echoes(handOver, reply)) {
			reply.body().close();
			return new CallAttempt.Reply.Indeterminate(handOver, "reply belongs to another hand-over");
		}
		if (reply.statusCode() == 200) {
			return new CallAttempt.Reply.Admitted(handOver, new FrameReader(reply.body(), credit(handOver)));
		}
		try (InputStream body = reply.body()) {
			return switch (reply.statusCode()) {
				case 503 -> refused(handOver, reply, body.readNBytes(REFUSAL_LIMIT_BYTES));
				// The credential is checked before anything of the call is read.
				case 401 -> new CallAttempt.Reply.NotSent("agent does not accept the credential");
				default -> new CallAttempt.Reply.Indeterminate(handOver, "agent answered " + reply.statusCode());
			};
		}
	}

	private CallAttempt.Reply refused(CallAttempt handOver, HttpResponse<?> reply, byte[] body) {
		Refusal refusal = Json.read(body, Refusal.class);
		long generation = reply.headers().firstValueAsLong(Headers.GENERATION).orElse(0);
		return switch (refusal.refusal()) {
			// A repeat by the HTTP client was refused, so the first copy was admitted.
			case DUPLICATE -> new CallAttempt.Reply.Indeterminate(handOver, "hand-over arrived twice");
			case null -> new CallAttempt.Reply.Indeterminate(handOver, "refusal without reason");
			default -> {
				this.table.onRefusal(handOver.agent().address(), refusal, generation, this.clock.getAsLong());
				yield new CallAttempt.Reply.Refused(refusal);
			}
		};
	}

	private void learn(VmRecord agent, HttpResponse<?> reply) {
		reply.headers()
			.firstValue(Headers.INCARNATION)
			.ifPresent((incarnation) -> this.table.onIncarnation(agent.address(), incarnation));
		reply.headers()
			.firstValue(Headers.LOAD)
			.ifPresent((load) -> this.table.onLoadReport(agent.address(), Json.read(load, LoadReport.class),
					this.clock.getAsLong()));
	}

	private static boolean echoes(CallAttempt handOver, HttpResponse<?> reply) {
		return reply.headers().firstValue(Headers.REQUEST_ID).map(handOver.requestId()::equals).orElse(true)
				&& reply.headers()
					.firstValue(Headers.ATTEMPT)
					.map(Long.toString(handOver.attempt())::equals)
					.orElse(true);
	}

	private LongConsumer credit(CallAttempt handOver) {
		// Half a window at a time keeps the number of grants low without a pause.
		long[] granted = { CreditGrant.INITIAL_CREDIT_BYTES };
		return (takenBytes) -> {
			if (granted[0] - takenBytes <= this.windowBytes / 2) {
				granted[0] = takenBytes + this.windowBytes;
				control(handOver, "/v1/calls/credit",
						new CreditGrant(handOver.requestId(), handOver.attempt(), granted[0]));
			}
		};
	}

	/**
	 * Asks the agent to end a call whose answer is no longer wanted. Best effort: the
	 * call ends at its deadline in any case.
	 */
	void cancel(CallAttempt handOver) {
		control(handOver, "/v1/calls/cancel", new CancelRequest(handOver.requestId(), handOver.attempt()));
	}

	private void control(CallAttempt handOver, String path, Object message) {
		this.controls.execute(() -> {
			try {
				this.client.post(handOver.agent().address().uri(path), message, CONTROL_TIMEOUT);
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
	 * @param handOver the hand-over
	 * @param timeoutMillis longest wait
	 * @throws IOException if there is no usable answer
	 */
	FenceReply fence(CallAttempt handOver, long timeoutMillis) throws IOException, InterruptedException {
		FenceRequest request = new FenceRequest(handOver.router(), handOver.attempt(), handOver.agentIncarnation(),
				handOver.requestId());
		HttpResponse<byte[]> reply = this.client.post(handOver.agent().address().uri("/v1/fences"), request,
				Duration.ofMillis(Math.max(1, Math.min(timeoutMillis, CONTROL_TIMEOUT.toMillis()))));
		learn(handOver.agent(), reply);
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
