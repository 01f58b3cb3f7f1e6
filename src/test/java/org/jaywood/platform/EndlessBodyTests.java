package org.jaywood.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.event.EventLog;
import org.jaywood.feed.FeedException;
import org.jaywood.replica.EngineUnavailableException;
import org.jaywood.replica.LoadOrder;
import org.jaywood.routing.ModelVersion;
import org.jaywood.wire.Address;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an engine or a store that sends a body without end, of which a replica
 * or a gateway keeps 16 MB for each request.
 */
class EndlessBodyTests {

	private static final byte[] FILL = " ".repeat(8 * 1024).getBytes(StandardCharsets.US_ASCII);

	/** Bytes that fit the socket buffers between two processes. */
	private static final long SOCKET_BYTES = 6 * 1024 * 1024;

	private final AtomicLong sentBytes = new AtomicLong();

	private final HttpPort port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("test"))
		.withExecutor(DaemonThreads.requestPool())
		.route("GET", "/", this::sendWithoutEnd)
		.route("POST", "/", this::sendWithoutEnd)
		.route("PUT", "/", this::sendWithoutEnd)
		.start();

	private final Address address = new Address("127.0.0.1", this.port.address().port());

	@AfterEach
	void close() {
		this.port.close();
	}

	private void sendWithoutEnd(Exchange exchange) throws IOException {
		try (OutputStream out = exchange.stream(200, "application/json")) {
			while (true) {
				out.write(FILL);
				this.sentBytes.addAndGet(FILL.length);
			}
		}
	}

	private void assertKeptAtMost(long bytes) {
		assertThat(this.sentBytes.get()).isLessThan(bytes + SOCKET_BYTES);
	}

	@Nested
	class Engines {

		private final PlatformEngineClient client = new PlatformEngineClient(EndlessBodyTests.this.address);

		@Test
		void reportIsBounded() {
			Failures.thrownBy(EngineUnavailableException.class, this.client::report);
			assertKeptAtMost(64 * 1024);
		}

		@Test
		void responseToAnOrderIsBounded() {
			Failures.thrownBy(EngineUnavailableException.class,
					() -> this.client.orderLoad(new LoadOrder(new ModelVersion("model", 1), 0, 16, 16), 0, 1_500));
			assertKeptAtMost(64 * 1024);
		}

		@Test
		void responseToAWrittenChunkIsBounded() {
			Failures.thrownBy(EngineUnavailableException.class, () -> {
				this.client.writeStaged("model", 0, new byte[1]);
				return null;
			});
			assertKeptAtMost(64 * 1024);
		}

	}

	@Nested
	class Store {

		private final MetadataStoreClient client = new MetadataStoreClient(EndlessBodyTests.this.address);

		@Test
		void pageIsBounded() {
			Failures.thrownBy(FeedException.class, () -> this.client.list("servers", ""));
			assertKeptAtMost(4 * 1024 * 1024);
		}

		@Test
		void responseToAWriteIsBounded() {
			Failures.thrownBy(IOException.class,
					() -> this.client.create("part-trials", "name", Json.mapper().createObjectNode()));
			assertKeptAtMost(64 * 1024);
		}

	}

}
