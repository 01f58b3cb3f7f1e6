package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;
import org.jaywood.FixedResponseServer;
import org.jaywood.ResponseForms;
import org.jaywood.event.EventLog;
import org.jaywood.http.ConnectionException;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.ModelVersion;
import org.jaywood.wire.Address;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

class PeerClientTests {

	private static final int CHUNK_BYTES = 100_000;

	private static final ChunkManifest MANIFEST = new ChunkManifest("model", 2, CHUNK_BYTES, List.of("digest"));

	private static final LocalChunks.Chunk CHUNK = new LocalChunks.Chunk(0, new byte[] { 1, 2, 3 });

	/** Interval of the heartbeats of a peer. */
	private static final long HEARTBEAT_MILLIS = 400;

	/** Longest wait of a peer for a chunk that it has yet to receive. */
	private static final long WAIT_MILLIS = 5_000;

	/** Time within which a request to a silent peer must fail. */
	private static final long MAX_REQUEST_MILLIS = 3_000;

	private final EventLog log = new EventLog("test");

	private final PeerClient client = new PeerClient(new ConnectionPool());

	private final List<LocalChunks.Chunk> received = new ArrayList<>();

	private @Nullable HttpPort port;

	@AfterEach
	void close() {
		if (this.port != null) {
			this.port.close();
		}
	}

	private Address startPeer(BodyWriter bodyWriter) {
		return startPeer(bodyWriter, 0);
	}

	private Address startPeer(BodyWriter bodyWriter, long silenceMillis) {
		this.port = HttpPort.open(new Address("127.0.0.1", 0), this.log)
			.withExecutor(DaemonThreads.requestPool())
			.route("GET", PeerClient.WEIGHTS_PATH_PREFIX, (exchange) -> {
				Thread.sleep(silenceMillis);
				send(exchange, bodyWriter);
			})
			.start();
		return new Address("127.0.0.1", this.port.address().port());
	}

	private static void send(Exchange exchange, BodyWriter bodyWriter) throws IOException {
		try (OutputStream out = exchange.stream(200, "application/octet-stream")) {
			bodyWriter.writeBody(out);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void requestChunk(Address peer) throws IOException {
		BitSet first = new BitSet();
		first.set(0);
		this.client.streamChunks(peer, MANIFEST, first, false, WAIT_MILLIS, this.received::add);
	}

	private static void write(OutputStream out, byte[] bytes) throws IOException {
		out.write(bytes);
		out.flush();
	}

	/**
	 * Guards against a request to a slow but healthy peer that is ended.
	 */
	@Nested
	class SlowPeer {

		@Test
		void heartbeatsKeepStreamOpen() throws Exception {
			Address peer = startPeer((out) -> {
				for (int i = 0; i < 6; i++) {
					write(out, ChunkFrames.encodeHeartbeat());
					Thread.sleep(HEARTBEAT_MILLIS);
				}
				write(out, ChunkFrames.encode(CHUNK));
			});
			requestChunk(peer);
			assertThat(PeerClientTests.this.received.getFirst().bytes()).isEqualTo(CHUNK.bytes());
		}

		@Test
		void silenceBeforeTheResponseDoesNotMakeThePeerUnreachable() {
			Address peer = startPeer((out) -> {
			}, MAX_REQUEST_MILLIS);
			IOException failure = Failures.thrownBy(IOException.class, () -> {
				requestChunk(peer);
				return null;
			});
			assertThat(failure).isNotInstanceOf(ConnectionException.class);
		}

	}

	/**
	 * Guards against a peer that blocks a download forever: by silence, or by bytes that
	 * never complete a chunk.
	 */
	@Nested
	class StalledPeer {

		private void assertRequestFailsInTime(BodyWriter bodyWriter) {
			Address peer = startPeer(bodyWriter);
			long startNanos = System.nanoTime();
			Failures.thrownBy(IOException.class, () -> {
				requestChunk(peer);
				return null;
			});
			assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis()).isLessThan(MAX_REQUEST_MILLIS);
		}

		@Test
		void silenceEndsRequest() {
			assertRequestFailsInTime((out) -> {
				write(out, ChunkFrames.encodeHeartbeat());
				Thread.sleep(2 * MAX_REQUEST_MILLIS);
			});
		}

		@Test
		void chunkThatNeverCompletesEndsRequest() {
			assertRequestFailsInTime((out) -> {
				byte[] frame = ChunkFrames.encode(new LocalChunks.Chunk(0, new byte[100_000]));
				for (int offset = 0; offset < 100; offset++) {
					out.write(frame, offset, 1);
					out.flush();
					Thread.sleep(HEARTBEAT_MILLIS / 4);
				}
			});
		}

	}

	/**
	 * Guards against a peer in trouble whose status is none, or whose response is broken,
	 * and that is waited on or believed.
	 */
	@Nested
	class BrokenResponses {

		private static final String FORMS = "org.jaywood.ResponseForms#";

		private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

		private void assertFailsAtOnce(String response) throws IOException {
			try (FixedResponseServer peer = new FixedResponseServer(response)) {
				long startNanos = System.nanoTime();
				Failures.thrownBy(ConnectionException.class, () -> {
					requestChunk(peer.address());
					return null;
				});
				Failures.thrownBy(ConnectionException.class, () -> PeerClientTests.this.client
					.fetchManifest(peer.address(), new ModelVersion("model", 2), WAIT_MILLIS));
				assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis()).isLessThan(1_000);
			}
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
		void statusFailsAtOnce(String status) throws IOException {
			assertFailsAtOnce("HTTP/1.1 " + status + " Status\r\nContent-Length: 0\r\n\r\n");
		}

		@ParameterizedTest
		@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenLengths" })
		void headFailsAtOnce(String line) throws IOException {
			assertFailsAtOnce(STATUS_LINE + line + "\r\n\r\nbody");
		}

		@ParameterizedTest
		@MethodSource(FORMS + "brokenChunks")
		void chunkFails(String chunks) throws IOException {
			try (FixedResponseServer peer = new FixedResponseServer(
					STATUS_LINE + ResponseForms.CHUNKED + "\r\n\r\n" + chunks)) {
				Failures.thrownBy(IOException.class, () -> PeerClientTests.this.client.fetchManifest(peer.address(),
						new ModelVersion("model", 2), WAIT_MILLIS));
			}
		}

	}

	/**
	 * Guards against a peer that sends without end.
	 */
	@Nested
	class EndlessPeer {

		@Test
		void chunkThatIsLargerThanItsManifestSaysIsNotRead() {
			Address peer = startPeer((out) -> {
				write(out, ByteBuffer.allocate(8).putInt(0).putInt(CHUNK_BYTES + 1).array());
				write(out, new byte[CHUNK_BYTES / 2]);
				Thread.sleep(MAX_REQUEST_MILLIS);
			});
			IOException failure = Failures.thrownBy(IOException.class, () -> {
				requestChunk(peer);
				return null;
			});
			assertThat(failure).isNotInstanceOf(SocketTimeoutException.class);
		}

		@Test
		void heartbeatsWithoutAnyChunkEndTheRequest() {
			Address peer = startPeer((out) -> {
				long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(4 * WAIT_MILLIS);
				while (System.nanoTime() < endNanos) {
					write(out, ChunkFrames.encodeHeartbeat());
					Thread.sleep(HEARTBEAT_MILLIS / 4);
				}
			});
			long startNanos = System.nanoTime();
			Failures.thrownBy(IOException.class, () -> {
				requestChunk(peer);
				return null;
			});
			assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis())
				.isLessThan(WAIT_MILLIS + MAX_REQUEST_MILLIS);
		}

	}

	/**
	 * Writes the body of the response of a peer.
	 */
	private interface BodyWriter {

		void writeBody(OutputStream out) throws IOException, InterruptedException;

	}

}
