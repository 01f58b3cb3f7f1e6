package org.jaywood.platform;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;

import org.jaywood.Failures;
import org.jaywood.FixedResponseServer;
import org.jaywood.feed.BootClock;
import org.jaywood.replica.ChunkManifest;
import org.jaywood.replica.LoadOrder;
import org.jaywood.routing.ModelVersion;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * All requests to an engine, the origin or the store, answered with fixed bytes.
 */
abstract class PlatformClientFixture {

	private static final long MAX_MILLIS = 500;

	private static final JsonNode SPEC = Json.mapper().createObjectNode();

	private static final ChunkManifest MANIFEST = new ChunkManifest("model", 2, 100, List.of("digest"));

	private @Nullable FixedResponseServer server;

	@AfterEach
	void close() throws IOException {
		if (this.server != null) {
			this.server.close();
		}
	}

	/**
	 * Starts a process that sends the same response to all requests.
	 */
	final Address start(String response) {
		this.server = new FixedResponseServer(response);
		return this.server.address();
	}

	static List<Callable<?>> engineRequests(Address address) {
		PlatformEngineClient engine = new PlatformEngineClient(address);
		return List.of(engine::report, () -> engine.readStaged("model", 0),
				() -> engine.orderLoad(new LoadOrder(new ModelVersion("model", 1), 0, 16, 16), 0, 1_500), () -> {
					engine.writeStaged("model", 0, new byte[1]);
					return null;
				});
	}

	static List<Callable<?>> originRequests(Address address) {
		PlatformEngineClient origin = new PlatformEngineClient(address);
		return List.of(() -> origin.fetchManifest(address, "model", 2), () -> origin.fetchChunk(address, MANIFEST, 0));
	}

	static List<Callable<?>> storeRequests(Address address) {
		MetadataStoreClient store = new MetadataStoreClient(address);
		return List.of(() -> store.list("kind", ""), () -> store.watch("kind", 1, 1_000),
				() -> store.create("kind", "name", SPEC), () -> store.createObject("kind", "name", SPEC),
				() -> store.replaceObject("kind", "name", SPEC, 1), () -> store.readObject("kind", "name", false));
	}

	static Stream<Callable<?>> allRequests(Address address) {
		return Stream.of(engineRequests(address), originRequests(address), storeRequests(address))
			.flatMap(List::stream);
	}

	/**
	 * Checks that a request fails at once.
	 * @param message part of the message of the failure
	 */
	static void assertFailsAtOnce(Callable<?> request, String message) {
		long sinceMillis = BootClock.nowMillis();
		Exception failure = Failures.thrownBy(Exception.class, request);
		assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(MAX_MILLIS);
		assertThat(failure).hasMessageThat().contains(message);
	}

}
