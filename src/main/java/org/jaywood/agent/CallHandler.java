package org.jaywood.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.config.ConfigurationView;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;
import org.jaywood.wire.RefusalReason;
import org.jaywood.wire.WireClient;

/**
 * Takes calls handed over by routers, runs the admitted ones at the upstream and streams
 * the answers back.
 */
final class CallHandler {

	private static final int BODY_LIMIT_BYTES = 4 * 1024 * 1024;

	private final AgentSettings settings;

	private final ConfigurationView configuration;

	private final Admission admission;

	private final WireClient upstream;

	CallHandler(AgentSettings settings, ConfigurationView configuration, Admission admission, WireClient upstream) {
		this.settings = settings;
		this.configuration = configuration;
		this.admission = admission;
		this.upstream = upstream;
	}

	void register(HttpPort port) {
		port.route("POST", "/v1/calls", this::handOver);
	}

	private void handOver(Exchange exchange) throws IOException, InterruptedException {
		byte[] body = exchange.body(BODY_LIMIT_BYTES);
		try {
			checkService(exchange);
			this.admission.admit();
		}
		catch (AdmissionRefusal refusal) {
			exchange.respondJson(503,
					Map.of("refusal", refusal.reason(), "retryAfterMillis", refusal.retryAfterMillis()));
			return;
		}
		try {
			if (exchange.header(Headers.METHOD) != null) {
				runPlain(exchange, body);
			}
			else {
				runModel(exchange, body);
			}
		}
		finally {
			this.admission.release();
		}
	}

	private void checkService(Exchange exchange) {
		if (!this.settings.service().equals(exchange.header(Headers.SERVICE))) {
			throw new AdmissionRefusal(RefusalReason.UNKNOWN_SERVICE, 0);
		}
		if (!this.configuration.deployment().serves(this.settings.service(), this.settings.dataCentre())) {
			throw new AdmissionRefusal(RefusalReason.DATA_CENTRE_OUT, 0);
		}
	}

	private void runPlain(Exchange exchange, byte[] body) throws IOException, InterruptedException {
		HttpRequest request = this.upstream
			.request(this.settings.upstreamAddress().uri(exchange.optionalHeader(Headers.PATH).orElse("/")),
					Duration.ofMillis(exchange.headerLong(Headers.REMAINING_MILLIS, 10_000)))
			.setHeader("Request-Id", exchange.optionalHeader(Headers.REQUEST_ID).orElse(""))
			.method(exchange.optionalHeader(Headers.METHOD).orElse("GET"), BodyPublishers.ofByteArray(body))
			.build();
		HttpResponse<byte[]> reply = this.upstream.send(request);
		OutputStream out = exchange.stream(200, "application/x-ndjson");
		write(out, Frame.head(reply.statusCode(),
				reply.headers().firstValue("Content-Type").orElse("application/octet-stream"), ""));
		write(out, Frame.data(reply.body()));
		write(out, Frame.end(reply.body().length, Digests.sha256(reply.body())));
		out.close();
	}

	private void runModel(Exchange exchange, byte[] body) throws IOException, InterruptedException {
		HttpRequest request = this.upstream
			.request(this.settings.upstreamAddress().uri("/v1/completions"),
					Duration.ofMillis(exchange.headerLong(Headers.REMAINING_MILLIS, 60_000)))
			.setHeader("Content-Type", "application/json")
			.POST(BodyPublishers.ofByteArray(body))
			.build();
		HttpResponse<InputStream> reply = this.upstream.stream(request);
		OutputStream out = exchange.stream(200, "application/x-ndjson");
		write(out, Frame.head(reply.statusCode(), "application/x-ndjson",
				reply.headers().firstValue("Engine-Weights").orElse("")));
		MessageDigest digest = Digests.newSha256();
		try (BufferedReader lines = new BufferedReader(new InputStreamReader(reply.body(), StandardCharsets.UTF_8))) {
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				JsonNode token = Json.read(line, JsonNode.class);
				if (token.path("end").asBoolean()) {
					write(out, Frame.end(token.path("count").asLong(), Digests.hex(digest.digest())));
					out.close();
					return;
				}
				digest.update(token.path("text").asText().getBytes(StandardCharsets.UTF_8));
				write(out, Frame.token(token.path("index").asInt(), token.path("text").asText()));
			}
		}
		throw exchange.abort("engine stream ended without its end marker");
	}

	private static void write(OutputStream out, Frame frame) throws IOException {
		out.write(Json.bytes(frame));
		out.write('\n');
		out.flush();
	}

}
