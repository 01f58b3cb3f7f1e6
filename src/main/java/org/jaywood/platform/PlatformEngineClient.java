package org.jaywood.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.jspecify.annotations.Nullable;

import org.jaywood.http.BufferedResponse;
import org.jaywood.http.ConnectionException;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.ResponseLimits;
import org.jaywood.replica.ChunkManifest;
import org.jaywood.replica.EngineControl;
import org.jaywood.replica.EngineReport;
import org.jaywood.replica.EngineUnavailableException;
import org.jaywood.replica.LoadOrder;
import org.jaywood.replica.VersionGoneException;
import org.jaywood.replica.WeightOrigin;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Client of the platform's engines, for their state and weights, and of its origin of
 * weights.
 */
public final class PlatformEngineClient implements EngineControl, WeightOrigin {

	private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

	/**
	 * Longest pause within a chunk of the origin. An origin that stops without closing
	 * its connections would otherwise hold a request for the time of a whole body, so
	 * that the chunk is asked for again only long after the origin is back.
	 */
	private static final long ORIGIN_PAUSE_MILLIS = 1_500;

	/** Size of a report, and of a response to an order or a written chunk. */
	private static final int MAX_STATUS_BYTES = 64 * 1024;

	private static final ResponseLimits STATUS_LIMITS = new ResponseLimits(RESPONSE_TIMEOUT_MILLIS, MAX_STATUS_BYTES);

	private static final ResponseLimits MANIFEST_LIMITS = new ResponseLimits(RESPONSE_TIMEOUT_MILLIS, 4 * 1024 * 1024);

	/** Parameter for the index of a chunk; despite its name it is no count of samples. */
	private static final String INDEX_PARAMETER = "SampleCount";

	private final Address engine;

	private final ConnectionPool pool = new ConnectionPool();

	public PlatformEngineClient(Address engine) {
		this.engine = engine;
	}

	@Override
	public EngineReport report() throws EngineUnavailableException {
		BufferedResponse response = getWithRetry("/report");
		requireOk(response, "report");
		try {
			JsonNode node = Json.tree(response.body());
			return new EngineReport(node.path("born").asLong(), node.path("Running").asInt(),
					node.path("Queued").asInt(), node.path("Busy").asBoolean(), node.path("Sequence").asLong(),
					ObjectDecoders.loadedWeights(node));
		}
		catch (RuntimeException ex) {
			throw new EngineUnavailableException("malformed report: " + ex.getMessage(), ex);
		}
	}

	@Override
	public void writeStaged(String model, int index, byte[] chunk) throws EngineUnavailableException {
		BufferedResponse response = exchangeWithEngine("PUT",
				"/stage-put/" + model + "?" + INDEX_PARAMETER + "=" + index, chunk, STATUS_LIMITS);
		if (response.status() >= HttpStatus.SC_REDIRECTION) {
			throw new EngineUnavailableException("staging chunk " + index + ": status " + response.status(), null);
		}
	}

	@Override
	public byte @Nullable [] readStaged(String model, int index) throws EngineUnavailableException {
		BufferedResponse response = exchangeWithEngine("GET",
				"/stage-get/" + model + "?" + INDEX_PARAMETER + "=" + index, new byte[0],
				chunkLimits(ChunkManifest.MAX_CHUNK_BYTES));
		if (response.status() == HttpStatus.SC_NOT_FOUND) {
			return null;
		}
		requireOk(response, "staged chunk " + index);
		return response.body();
	}

	@Override
	public boolean orderLoad(LoadOrder order, long sequence, long timeoutMillis) throws EngineUnavailableException {
		boolean whole = order.takesWholeModel();
		byte[] body = Json.bytes(new Order("start", order.version().model(), order.version().version(), "wait",
				whole ? null : 0, whole ? null : order.toLayer(), sequence));
		BufferedResponse response = exchangeWithEngine("POST", "/order", body,
				new ResponseLimits(timeoutMillis, MAX_STATUS_BYTES));
		return response.status() == HttpStatus.SC_OK || response.status() == HttpStatus.SC_ACCEPTED;
	}

	@Override
	public ChunkManifest fetchManifest(Address origin, String model, long version) throws IOException {
		BufferedResponse response = exchange(origin, "GET", "/manifest/" + model + "?Version=" + version, new byte[0],
				MANIFEST_LIMITS);
		requirePresent(response, "manifest of " + model + " " + version);
		JsonNode node = Json.tree(response.body());
		List<String> digests = new ArrayList<>();
		node.path("Digests").forEach((digest) -> digests.add(digest.asText()));
		if (digests.isEmpty() || node.path("Version").asLong() != version) {
			throw new IOException("malformed manifest of " + model + " " + version);
		}
		return new ChunkManifest(model, version, node.path("ChunkBytes").asInt(), digests);
	}

	@Override
	public byte[] fetchChunk(Address origin, ChunkManifest manifest, int index) throws IOException {
		BufferedResponse response = exchange(origin, "GET",
				"/piece/" + manifest.model() + "?" + INDEX_PARAMETER + "=" + index + "&Version=" + manifest.version(),
				new byte[0],
				new ResponseLimits(RESPONSE_TIMEOUT_MILLIS, manifest.maxChunkBytes(), ORIGIN_PAUSE_MILLIS));
		requirePresent(response, "chunk " + index);
		return response.body();
	}

	@Override
	public void closeIdleConnections(Address origin) {
		this.pool.closeIdle(origin);
	}

	private BufferedResponse getWithRetry(String path) throws EngineUnavailableException {
		try {
			return this.pool.exchangeWithRetry(this.engine, new BasicClassicHttpRequest("GET", path), STATUS_LIMITS);
		}
		catch (IOException | RuntimeException ex) {
			boolean ended = ex instanceof ConnectionException failure && failure.refused();
			throw new EngineUnavailableException("GET " + path + ": " + ex.getMessage(), ex, ended);
		}
	}

	private BufferedResponse exchangeWithEngine(String method, String path, byte[] body, ResponseLimits limits)
			throws EngineUnavailableException {
		try {
			return exchange(this.engine, method, path, body, limits);
		}
		catch (IOException | RuntimeException ex) {
			throw new EngineUnavailableException(method + " " + path + ": " + ex.getMessage(), ex);
		}
	}

	private static ResponseLimits chunkLimits(int maxChunkBytes) {
		return new ResponseLimits(RESPONSE_TIMEOUT_MILLIS, maxChunkBytes);
	}

	private static void requirePresent(BufferedResponse response, String what) throws IOException {
		if (response.status() == HttpStatus.SC_GONE) {
			throw new VersionGoneException(what + ": status " + response.status());
		}
		if (response.status() != HttpStatus.SC_OK) {
			throw new IOException(what + ": status " + response.status());
		}
	}

	private static void requireOk(BufferedResponse response, String what) throws EngineUnavailableException {
		if (response.status() != HttpStatus.SC_OK) {
			throw new EngineUnavailableException(what + ": status " + response.status() + " "
					+ new String(response.body(), StandardCharsets.UTF_8).strip(), null);
		}
	}

	private BufferedResponse exchange(Address address, String method, String path, byte[] body, ResponseLimits limits)
			throws IOException {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
		if (method.equals("POST")) {
			request.setHeader("Content-Type", "application/json");
		}
		return this.pool.exchange(address, request, body, limits);
	}

	/**
	 * Order to load the staged weights. Without layers it is for all of them.
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	private record Order(@JsonProperty("Op") String op, @JsonProperty("Model") String model,
			@JsonProperty("Version") long version, @JsonProperty("StartMode") String mode,
			@JsonProperty("From") @Nullable Integer fromLayer, @JsonProperty("To") @Nullable Integer toLayer,
			@JsonProperty("Precondition") long sequence) {
	}

}
