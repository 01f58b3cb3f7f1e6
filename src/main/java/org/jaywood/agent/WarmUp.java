package org.jaywood.agent;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import org.jaywood.wire.Json;

/**
 * Sends short calls to a cold engine that has no others, so that it is warm before
 * routers need it and its activation slot is released early. Without them engines far
 * from the callers got no calls and kept their slot for 10 s each, which was most of the
 * time of a rollout. Each call passes the preconditions and admission like any other, so
 * an engine out of service gets none and the cold limit applies; the watchdog ends it at
 * its deadline.
 */
final class WarmUp {

	/** Pause between two calls, in which the engine has free capacity for a real call. */
	private static final long CALL_PAUSE_MILLIS = 20;

	/** Warm-up calls per cold start; after them only real calls warm the engine up. */
	private static final int MAX_CALLS = 64;

	private static final long CALL_TIMEOUT_MILLIS = 5_000;

	private static final int MAX_ANSWER_BYTES = 64 * 1024;

	private final ModelCallContext context;

	private final RunningCalls calls;

	private final CallPreconditions preconditions;

	private int callsSent;

	WarmUp(ModelCallContext context, RunningCalls calls, CallPreconditions preconditions) {
		this.context = context;
		this.calls = calls;
		this.preconditions = preconditions;
	}

	/**
	 * Whether the engine may get work; otherwise it is not warmed up.
	 */
	boolean acceptsWork() {
		return this.preconditions.acceptsWork();
	}

	/**
	 * Resets the count of calls once the engine is warm, so that a later cold start gets
	 * all of them again.
	 */
	void onWarm() {
		this.callsSent = 0;
	}

	/**
	 * Sends one call if the engine has none.
	 * @param weights digest of the weights that it serves
	 * @param idlePauseMillis pause if no call is sent
	 * @return pause until the next step in milliseconds
	 */
	long step(String weights, long idlePauseMillis) throws InterruptedException {
		if (this.callsSent >= MAX_CALLS || this.context.admission().inFlight() > 0) {
			return idlePauseMillis;
		}
		long nowMillis = this.context.clock().getAsLong();
		CallRequest request = CallRequest.warmUp("warm-up-" + UUID.randomUUID(), weights,
				nowMillis + CALL_TIMEOUT_MILLIS);
		try {
			this.preconditions.checkCanRunNow(request, nowMillis);
			this.callsSent++;
			long bytes = request.maxUpstreamBytes(1, this.context.settings().tokenBytes());
			run(request, this.context.admission().admit(weights, bytes, bytes));
			return CALL_PAUSE_MILLIS;
		}
		catch (AdmissionRefusedException refusal) {
			return idlePauseMillis;
		}
	}

	private void run(CallRequest request, AdmissionController.Permit permit) throws InterruptedException {
		RunningCall call = this.calls.add(request);
		long startNanos = System.nanoTime();
		try {
			HttpResponse<InputStream> response = this.context.client().stream(engineRequest(request));
			try (InputStream in = response.body()) {
				call.attachUpstream(in);
				if (permit.onResponseHead(EngineResponseHeaders.of(response))) {
					this.context.onLimitReset().run();
				}
				if (response.statusCode() != 200) {
					permit.refused(this.context.clock().getAsLong());
					return;
				}
				in.readNBytes(MAX_ANSWER_BYTES);
				permit.completed(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
			}
		}
		catch (IOException ex) {
			if (permit.onConnectionLost()) {
				this.context.onLimitReset().run();
			}
		}
		finally {
			permit.releaseAsOrphaned();
			this.calls.remove(call);
		}
	}

	private HttpRequest engineRequest(CallRequest request) {
		return this.context.client()
			.request(this.context.engine().uri("/v1/completions"), Duration.ofMillis(CALL_TIMEOUT_MILLIS))
			.setHeader("Content-Type", "application/json")
			.POST(BodyPublishers.ofByteArray(Json.bytes(request.engineRequest(0, 1))))
			.build();
	}

}
