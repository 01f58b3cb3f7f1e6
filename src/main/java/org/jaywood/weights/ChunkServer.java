package org.jaywood.weights;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;

/**
 * Serves the content of the agent staging area to peers and to the engine of this VM. The
 * number of concurrent uploads to peers is limited, and for uploads to other regions also
 * the rate.
 */
final class ChunkServer {

	/**
	 * A small number, so that each upload finishes early and its receiver can send the
	 * chunk on.
	 */
	private static final int MAX_CONCURRENT_UPLOADS = 4;

	private static final long BUSY_RETRY_MILLIS = 20;

	private final WeightSettings settings;

	private final StagingArea staging;

	private final Swarm swarm;

	private final UploadSlots uploadSlots = new UploadSlots(MAX_CONCURRENT_UPLOADS);

	private final RegionShares regionShares;

	private final Map<String, ByteRateLimiter> linkLimiters = new ConcurrentHashMap<>();

	ChunkServer(WeightSettings settings, StagingArea staging, Swarm swarm) {
		this.settings = settings;
		this.staging = staging;
		this.swarm = swarm;
		this.regionShares = new RegionShares(staging, swarm);
	}

	void register(HttpPort port) {
		port.route("GET", "/v1/chunks/", this::sendChunk)
			.route("GET", "/v1/manifests/", this::sendManifest)
			.route("GET", "/v1/chunks/held/", this::sendHeldIndexes);
	}

	/**
	 * Registers the routes for the engine, which has no credential. They have a port of
	 * their own, because a peer port without a credential would also expose its other
	 * routes. Clients on hosts other than the given one are rejected with 403.
	 */
	void registerForEngine(HttpPort port, String engineHost) {
		port.route("GET", "/v1/chunks/", (exchange) -> {
			if (checkClientHost(exchange, engineHost)) {
				respond(exchange, this.staging.chunk(exchange.lastSegment()));
			}
		}).route("GET", "/v1/manifests/", (exchange) -> {
			if (checkClientHost(exchange, engineHost)) {
				sendManifest(exchange);
			}
		});
	}

	private static boolean checkClientHost(Exchange exchange, String engineHost) throws IOException {
		boolean matches = exchange.clientHost().equals(engineHost);
		if (!matches) {
			exchange.respondError(403, "only the engine of this VM may read here");
		}
		return matches;
	}

	private void sendManifest(Exchange exchange) throws IOException {
		respond(exchange, this.staging.manifest(exchange.lastSegment()).map(Manifest::toBytes));
	}

	private void sendHeldIndexes(Exchange exchange) throws IOException {
		String digest = exchange.lastSegment();
		Optional<Manifest> manifest = this.staging.manifest(digest);
		if (manifest.isEmpty()) {
			exchange.respondError(404, "manifest is not wanted here");
			return;
		}
		exchange.respondJson(200, new ChunkOffer(digest, this.settings.self().address(), heldIndexes(manifest.get())));
	}

	private List<Integer> heldIndexes(Manifest manifest) {
		return IntStream.range(0, manifest.chunks().size())
			.filter((index) -> this.staging.containsChunk(manifest.chunks().get(index)))
			.boxed()
			.toList();
	}

	private void sendChunk(Exchange exchange) throws IOException {
		Optional<byte[]> chunk = this.staging.chunk(exchange.lastSegment());
		long slotId = chunk.isPresent() ? this.uploadSlots.tryAcquire(System.nanoTime()) : 0;
		if (chunk.isPresent() && slotId == 0) {
			refuse(exchange, BUSY_RETRY_MILLIS);
			return;
		}
		try {
			long waitMillis = chunk.isPresent() ? linkWaitMillis(exchange, chunk.get().length) : 0;
			if (waitMillis > 0) {
				refuse(exchange, waitMillis);
				return;
			}
			respond(exchange, chunk);
		}
		finally {
			this.uploadSlots.release(slotId);
		}
	}

	/**
	 * Takes the bytes from this VM's share of the rate limit of the region link.
	 * @return 0 if the bytes may be sent now, otherwise milliseconds until a retry
	 */
	private long linkWaitMillis(Exchange exchange, int bytes) {
		String region = exchange.optionalHeader(Headers.SENDER)
			.flatMap((sender) -> this.swarm.findInAnyManifest(Address.parse(sender)))
			.map(VmRecord::region)
			.orElse(this.settings.self().region());
		if (region.equals(this.settings.self().region())) {
			return 0;
		}
		long nowNanos = System.nanoTime();
		long rate = Math.max(1,
				(long) (this.settings.regionLinkBytesPerSecond() * this.regionShares.fractionFor(region, nowNanos)));
		return this.linkLimiters.computeIfAbsent(region, (key) -> new ByteRateLimiter())
			.tryAcquire(bytes, rate, nowNanos);
	}

	private static void refuse(Exchange exchange, long retryAfterMillis) throws IOException {
		exchange.setHeader("Retry-After", Long.toString(1 + retryAfterMillis / 1_000));
		exchange.setHeader("Retry-After-Millis", Long.toString(retryAfterMillis));
		exchange.respondJson(503, Map.of("retryAfterMillis", retryAfterMillis));
	}

	private static void respond(Exchange exchange, Optional<byte[]> content) throws IOException {
		if (content.isPresent()) {
			exchange.respond(200, "application/octet-stream", content.get());
		}
		else {
			exchange.respondError(404, "content is not held here");
		}
	}

}
