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

	private static final long BASE_MILLIS = 3_000;

	/** A peer answers from memory, so one without headers by then is frozen or gone. */
	static final Duration PEER_HEADERS = Duration.ofSeconds(2);

	/** The store may queue requests. */
	static final Duration STORE_HEADERS = Duration.ofSeconds(10);

	private final ScheduledExecutorService watchdog = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().name("chunk-watchdog").factory());

	/**
	 * Fetches content.
	 * @param client client of a peer or of the store
	 * @param uri location
	 * @param limitBytes largest size; a longer reply is a failure
	 * @param headers longest time until the headers
	 */
	Fetched get(WireClient client, URI uri, int limitBytes, Duration headers) throws IOException, InterruptedException {
		HttpResponse<InputStream> reply = client.stream(client.request(uri, headers).GET().build());
		InputStream in = reply.body();
		ScheduledFuture<?> limit = this.watchdog.schedule(() -> closeQuietly(in),
				BASE_MILLIS + limitBytes / MIN_BYTES_PER_MILLI, TimeUnit.MILLISECONDS);
		try (in) {
			byte[] body = in.readNBytes(limitBytes + 1);
			if (body.length > limitBytes) {
				throw new IOException("reply exceeds " + limitBytes + " bytes");
			}
			return new Fetched(reply.statusCode(), body, retryAfterMillis(reply));
		}
		finally {
			limit.cancel(false);
		}
	}

	private static long retryAfterMillis(HttpResponse<?> reply) {
		try {
			return reply.headers()
				.firstValue("Retry-After-Millis")
				.map(Long::parseLong)
				.or(() -> reply.headers().firstValue("Retry-After").map((text) -> Long.parseLong(text) * 1_000))
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
	 * A reply.
	 *
	 * @param status HTTP status
	 * @param body content
	 * @param retryAfterMillis time after which a refused request may be repeated
	 */
	record Fetched(int status, byte[] body, long retryAfterMillis) {

		boolean refused() {
			return this.status == 429 || this.status == 503;
		}

	}

}
