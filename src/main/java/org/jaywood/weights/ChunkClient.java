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
 * Fetches content with a time-out that covers the whole body. The time-out of the JDK's
 * client ends with the headers, so that a stalled body would block its reader forever.
 */
final class ChunkClient implements AutoCloseable {

	/** Lowest transfer rate that the body time-out allows for. */
	private static final long MIN_BYTES_PER_MILLI = 50;

	private static final long BASE_BODY_TIMEOUT_MILLIS = 3_000;

	/**
	 * A peer sends chunks from memory, so a peer that sends no headers in this time is
	 * frozen or gone.
	 */
	static final Duration PEER_HEADER_TIMEOUT = Duration.ofSeconds(2);

	/** Longer than that of a peer, because the weight store may queue requests. */
	static final Duration STORE_HEADER_TIMEOUT = Duration.ofSeconds(10);

	private final ScheduledExecutorService watchdog = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().name("chunk-watchdog").factory());

	/**
	 * Fetches content.
	 * @param client client for peers or for the weight store
	 * @param uri location of the content
	 * @param maxBytes largest body, in bytes
	 * @param headerTimeout longest time until the response headers arrive
	 * @return the response, whatever its status
	 * @throws IOException if the request fails or times out, or if the body is longer
	 * than {@code maxBytes}
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
				throw new IOException("response body of " + uri + " exceeds " + maxBytes + " bytes");
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
			// The thread that reads the stream gets and reports an exception of its own.
		}
	}

	@Override
	public void close() {
		this.watchdog.shutdownNow();
	}

	/**
	 * Buffered response.
	 *
	 * @param status HTTP status
	 * @param body response body
	 * @param retryAfterMillis time after which a refused request may be sent again
	 */
	record FetchResponse(int status, byte[] body, long retryAfterMillis) {

		boolean refused() {
			return this.status == 429 || this.status == 503;
		}

	}

}
