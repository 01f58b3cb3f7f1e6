package org.jaywood.router;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.peer.PeerNode;
import org.jaywood.peer.ProcessIdentity;
import org.jaywood.platform.VmRecord;
import org.jaywood.wire.CallOutcome;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * The process on an entry VM. It owns the calls in progress and chooses an upstream for
 * each.
 */
public final class Router implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 1024 * 1024;

	private static final long DEFAULT_DEADLINE_MILLIS = 60_000;

	private final RouterSettings settings;

	private final EventLog log;

	private final PeerNode peer;

	private final HttpPort callerPort;

	private final AtomicInteger inFlight = new AtomicInteger();

	private volatile boolean leaving;

	public Router(RouterSettings settings, EventLog log) {
		this.settings = settings;
		this.log = log;
		ProcessIdentity identity = new ProcessIdentity("router", settings.vm(), settings.region(),
				settings.dataCentre(), UUID.randomUUID().toString(), settings.advertisedAddress());
		this.peer = new PeerNode(identity, settings.listenAddress(), settings.platformAddress(), settings.credential(),
				log, () -> this.leaving, settings.operatorAddress(), settings.callerAddress());
		this.callerPort = HttpPort.open(settings.callerAddress(), log)
			.route("POST", "/v1/completions", this::complete)
			.route("*", "/services/", this::plain);
		this.peer.operatorPort(settings.operatorAddress())
			.route("GET", "/state", (exchange) -> exchange.respondJson(200, state()));
	}

	public void start() {
		this.peer.start();
		this.callerPort.start();
		this.log.log(Event.PROCESS_STARTED, "role", "router", "address", this.callerPort.address());
	}

	/**
	 * Stops after the running calls have ended.
	 * @param nowMillis present time
	 */
	public void drain(long nowMillis) throws InterruptedException {
		this.leaving = true;
		this.log.log(Event.PROCESS_DRAINING, "role", "router", "inFlight", this.inFlight.get());
		long deadlineMillis = nowMillis + this.settings.drainMillis();
		while (this.inFlight.get() > 0 && System.currentTimeMillis() < deadlineMillis) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		this.log.log(Event.PROCESS_STOPPED, "role", "router", "seconds",
				(System.currentTimeMillis() - nowMillis) / 1000.0);
	}

	private Optional<VmRecord> choose(String service) {
		List<VmRecord> candidates = this.peer.membership()
			.agentsOf(service)
			.filter((entry) -> this.peer.configuration().deployment().serves(service, entry.dataCentre()))
			.toList();
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())));
	}

	private void complete(Exchange exchange) throws IOException, InterruptedException {
		byte[] body = exchange.body(BODY_LIMIT_BYTES);
		JsonNode call = Json.tree(body);
		String service = call.path("model").asText();
		boolean stream = call.path("stream").asBoolean();
		run(exchange, service, body, Map.of(), (lines) -> relayTokens(exchange, lines, stream));
	}

	private void plain(Exchange exchange) throws IOException, InterruptedException {
		String[] parts = exchange.target().split("/", 4);
		if (parts.length < 4) {
			exchange.respondError(400, "path must be /services/<service>/<path>");
			return;
		}
		byte[] body = exchange.body(BODY_LIMIT_BYTES);
		run(exchange, parts[2], body, Map.of(Headers.METHOD, exchange.method(), Headers.PATH, "/" + parts[3]),
				(lines) -> relayBody(exchange, lines));
	}

	private void run(Exchange exchange, String service, byte[] body, Map<String, String> headers, Relay relay)
			throws IOException, InterruptedException {
		if (this.leaving) {
			refuse(exchange, CallOutcome.NOT_RUN, "DRAINING");
			return;
		}
		this.inFlight.incrementAndGet();
		try {
			Optional<VmRecord> agent = choose(service);
			if (agent.isEmpty()) {
				refuse(exchange, CallOutcome.NOT_RUN, "NO_UPSTREAM");
				return;
			}
			HttpRequest.Builder request = this.peer.client()
				.request(agent.get().address().uri("/v1/calls"), Duration.ofMillis(DEFAULT_DEADLINE_MILLIS))
				.setHeader(Headers.REQUEST_ID, UUID.randomUUID().toString())
				.setHeader(Headers.SERVICE, service)
				.setHeader(Headers.REMAINING_MILLIS, Long.toString(DEFAULT_DEADLINE_MILLIS))
				.POST(BodyPublishers.ofByteArray(body));
			headers.forEach(request::setHeader);
			HttpResponse<InputStream> reply = this.peer.client().stream(request.build());
			try (BufferedReader lines = new BufferedReader(
					new InputStreamReader(reply.body(), StandardCharsets.UTF_8))) {
				if (reply.statusCode() == 200) {
					relay.relay(lines);
					return;
				}
				refuse(exchange, CallOutcome.NOT_RUN,
						Json.read(lines.readLine(), JsonNode.class).path("refusal").asText());
			}
		}
		finally {
			this.inFlight.decrementAndGet();
		}
	}

	private void relayTokens(Exchange exchange, BufferedReader lines, boolean stream) throws IOException {
		StringBuilder text = new StringBuilder();
		String weights = "";
		OutputStream out = stream ? exchange.stream(200, "text/event-stream") : null;
		for (String line = lines.readLine(); line != null; line = lines.readLine()) {
			Frame frame = Json.read(line, Frame.class);
			if (frame.head() != null) {
				weights = frame.head().weights();
			}
			if (frame.token() != null) {
				text.append(frame.token().text());
				if (out != null) {
					writeEvent(out, Json.text(frame.token()));
				}
			}
			if (frame.end() != null) {
				if (out == null) {
					exchange.setHeader(Headers.OUTCOME, CallOutcome.ANSWERED.headerValue());
					exchange.respondJson(200, Map.of("text", text.toString(), "count", frame.end().count(), "digest",
							frame.end().digest(), "weights", weights));
					return;
				}
				writeEvent(out,
						Json.text(Map.of("end", true, "count", frame.end().count(), "digest", frame.end().digest())));
				writeEvent(out, "[DONE]");
				out.close();
				return;
			}
		}
		throw exchange.abort("agent stream ended without its end marker");
	}

	private static void writeEvent(OutputStream out, String data) throws IOException {
		out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private void relayBody(Exchange exchange, BufferedReader lines) throws IOException {
		Frame head = Json.read(lines.readLine(), Frame.class);
		Frame data = Json.read(lines.readLine(), Frame.class);
		Frame end = Json.read(lines.readLine(), Frame.class);
		if (head.head() == null || data.data() == null || end.end() == null) {
			throw exchange.abort("agent stream is not whole");
		}
		exchange.setHeader(Headers.OUTCOME, CallOutcome.ANSWERED.headerValue());
		exchange.respond(head.head().status(), head.head().contentType(), data.data());
	}

	private static void refuse(Exchange exchange, CallOutcome outcome, String reason) throws IOException {
		exchange.setHeader(Headers.OUTCOME, outcome.headerValue());
		exchange.respondJson((outcome == CallOutcome.NOT_RUN) ? 503 : 504,
				Map.of("error", Map.of("outcome", outcome.headerValue(), "reason", reason)));
	}

	private Map<String, Object> state() {
		return Map.of("identity", this.peer.identity(), "generation", this.peer.configuration().current().generation(),
				"inFlight", this.inFlight.get(), "leaving", this.leaving, "peer", this.peer.state());
	}

	@Override
	public void close() {
		this.callerPort.close();
		this.peer.close();
	}

	/**
	 * Passes an answer on to the caller.
	 */
	@FunctionalInterface
	private interface Relay {

		void relay(BufferedReader lines) throws IOException;

	}

}
