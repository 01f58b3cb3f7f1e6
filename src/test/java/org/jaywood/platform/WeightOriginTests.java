package org.jaywood.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.replica.ChunkManifest;
import org.jaywood.replica.VersionGoneException;
import org.jaywood.wire.Address;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Handler;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a version that the origin has dropped and that looks like one that comes
 * later, and against a request that is held by an origin which has fallen silent.
 */
class WeightOriginTests {

	private static final ChunkManifest MANIFEST = new ChunkManifest("model", 2, 100_000, List.of("digest"));

	private static final long SILENCE_MILLIS = 8_000;

	private final PlatformEngineClient client = new PlatformEngineClient(new Address("127.0.0.1", 1));

	private HttpPort port;

	@AfterEach
	void close() {
		this.port.close();
	}

	private Address startOrigin(Handler handler) {
		this.port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("test"))
			.withExecutor(DaemonThreads.requestPool())
			.route("GET", "/", handler)
			.start();
		return new Address("127.0.0.1", this.port.address().port());
	}

	private IOException chunkFailure(Address origin) {
		return Failures.thrownBy(IOException.class, () -> this.client.fetchChunk(origin, MANIFEST, 0));
	}

	@Test
	void droppedVersionIsNoOrdinaryFailure() {
		Address origin = startOrigin((exchange) -> exchange.respondError(410, "gone"));
		assertThat(chunkFailure(origin)).isInstanceOf(VersionGoneException.class);
		Failures.thrownBy(VersionGoneException.class, () -> this.client.fetchManifest(origin, "model", 2));
	}

	@Test
	void otherStatusesAreNotFinal() {
		Address origin = startOrigin((exchange) -> exchange.respondError(503, "later"));
		assertThat(chunkFailure(origin)).isNotInstanceOf(VersionGoneException.class);
	}

	@Test
	void silenceWithinAChunkEndsTheRequest() {
		Address origin = startOrigin(WeightOriginTests::sendPartOfChunk);
		long startMillis = BootClock.nowMillis();
		chunkFailure(origin);
		assertThat(BootClock.nowMillis() - startMillis).isLessThan(SILENCE_MILLIS / 2);
	}

	private static void sendPartOfChunk(Exchange exchange) throws IOException, InterruptedException {
		try (OutputStream out = exchange.stream(200, "application/octet-stream")) {
			out.write(new byte[1_000]);
			out.flush();
			Thread.sleep(SILENCE_MILLIS);
		}
	}

}
