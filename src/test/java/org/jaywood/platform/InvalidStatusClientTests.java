package org.jaywood.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;
import org.jaywood.feed.BootClock;
import org.jaywood.replica.ChunkManifest;
import org.jaywood.replica.LoadOrder;
import org.jaywood.routing.ModelVersion;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a status that is none and is waited on, or passes as success, in a
 * response of an engine, of the origin or of the store.
 */
class InvalidStatusClientTests {

	private static final long MAX_MILLIS = 500;

	private static final JsonNode SPEC = Json.mapper().createObjectNode();

	private static final ChunkManifest MANIFEST = new ChunkManifest("model", 2, 100, List.of("digest"));

	private final ServerSocket server = listen();

	private final Address address = new Address("127.0.0.1", this.server.getLocalPort());

	private final PlatformEngineClient engine = new PlatformEngineClient(this.address);

	private final MetadataStoreClient store = new MetadataStoreClient(this.address);

	private static ServerSocket listen() {
		try {
			return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
	}

	/**
	 * Responds to all requests with a status.
	 */
	private void start(String status) {
		Thread.ofVirtual().start(() -> {
			while (!this.server.isClosed()) {
				try {
					Socket socket = this.server.accept();
					Thread.ofVirtual().start(() -> serve(socket, status));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
	}

	private static void serve(Socket socket, String status) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				if (line.isEmpty()) {
					socket.getOutputStream()
						.write(("HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\n{}")
							.getBytes(StandardCharsets.ISO_8859_1));
				}
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private static void assertFailsAtOnce(Callable<?> request) {
		long sinceMillis = BootClock.nowMillis();
		Exception failure = Failures.thrownBy(Exception.class, request);
		assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(MAX_MILLIS);
		assertThat(failure).hasMessageThat().contains("cannot read a response head");
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void requestsToEngineFailAtOnce(String status) {
		start(status);
		assertFailsAtOnce(this.engine::report);
		assertFailsAtOnce(() -> this.engine.readStaged("model", 0));
		assertFailsAtOnce(
				() -> this.engine.orderLoad(new LoadOrder(new ModelVersion("model", 1), 0, 16, 16), 0, 1_500));
		assertFailsAtOnce(() -> {
			this.engine.writeStaged("model", 0, new byte[1]);
			return null;
		});
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void requestsToOriginFailAtOnce(String status) {
		start(status);
		assertFailsAtOnce(() -> this.engine.fetchManifest(this.address, "model", 2));
		assertFailsAtOnce(() -> this.engine.fetchChunk(this.address, MANIFEST, 0));
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void requestsToStoreFailAtOnce(String status) {
		start(status);
		assertFailsAtOnce(() -> this.store.list("kind", ""));
		assertFailsAtOnce(() -> this.store.watch("kind", 1, 1_000));
		assertFailsAtOnce(() -> this.store.create("kind", "name", SPEC));
		assertFailsAtOnce(() -> this.store.createObject("kind", "name", SPEC));
		assertFailsAtOnce(() -> this.store.replaceObject("kind", "name", SPEC, 1));
		assertFailsAtOnce(() -> this.store.readObject("kind", "name", false));
	}

}
