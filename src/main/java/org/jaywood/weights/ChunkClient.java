package org.jaywood.weights;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.jaywood.wire.WireClient;

/**
 * Fetches content within a time that covers the whole body. The time limit of the JDK's
 * client ends with the headers, so a body that stalls would block its reader for good.
 */
final class ChunkClient implements AutoCloseable {

	/** Slowest transfer that does not count as stalled. */
	private static final long MIN_BYTES_PER_MILLI = 50;

	private static final long BASE_BODY_TIMEOUT_MILLIS = 3_000;

	/** A peer answers from memory, so one without headers by then is frozen or gone. */
	static final Duration PEER_HEADER_TIMEOUT = Duration.ofSeconds(2);

	/** The store may queue requests. */
	static final Duration STORE_HEADER_TIMEOUT = Duration.ofSeconds(10);

	private final ScheduledExecutorService watchdog = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().name("chunk-watchdog").factory());

	/**
	 * Fetches content.
	 * @param client client of a peer or of the store
	 * @param uri location
	 * @param maxBytes largest size; a longer reply is a failure
	 * @param headerTimeout longest time until the headers
	 */
	FetchResponse get(WireClient client, URI uri, int maxBytes, Duration headerTimeout)
			throws IOException, InterruptedException {
		HttpResponse<InputStream> response = client.stream(client.request(uri, headerTimeout).GET().build());
		InputStream in = response.body();
		ScheduledFuture<?> timeout = this.watchdog.schedule(() -> closeQuietly(in),
				BASE_BODY_TIMEOUT_MILLIS + maxBytes / MIN_BYTES_PER_MILLI, TimeUnit.MILLISECONDS);
		try (in) {
			byte[] body = in.readNBytes(maxBytes + 1);
			if (body.length > maxBytes) {
				throw new IOException("reply exceeds " + maxBytes + " bytes");
			}
			return new FetchResponse(response.statusCode(), body, retryAfterMillis(response));
		}
		finally {
			timeout.cancel(false);
		}
	}

	private static long retryAfterMillis(HttpResponse<?> response) {
		try {
			return response.headers()
				.firstValue("Retry-After-Millis")
				.map(Long::parseLong)
				.or(() -> response.headers().firstValue("Retry-After").map((text) -> Long.parseLong(text) * 1_000))
				.map((millis) -> Math.clamp(millis, 1L, 10_000L))
				.orElse(100L);
		}
		catch (NumberFormatException ex) {
			return 1_000;
		}
	}

	private static void closeQuietly(InputStream in) {
		try {
			in.close();
		}
		catch (IOException ex) {
			// The reader fails as well and reports it.
		}
	}

	@Override
	public void close() {
		this.watchdog.shutdownNow();
	}

	/**
	 * A response.
	 *
	 * @param status HTTP status
	 * @param body content
	 * @param retryAfterMillis time after which a refused request may be repeated
	 */
	record FetchResponse(int status, byte[] body, long retryAfterMillis) {

		boolean refused() {
			return this.status == 429 || this.status == 503;
		}

	}

}
