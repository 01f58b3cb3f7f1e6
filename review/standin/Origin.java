package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of the origin of weights: manifests and chunks of the newest two versions, over
 * one narrow link. A version two back is answered 410.
 */
final class Origin implements AutoCloseable {

	private static final double LINK_BYTES_PER_SECOND = 7.3e6 / 8;

	private final InetSocketAddress address;

	private final Trace trace;

	private HttpServer server;

	private volatile long newestVersion = 1;

	private volatile boolean corruptNextManifest;

	private long linkFreeNanos = System.nanoTime();

	private int answers;

	private int corrupted;

	Origin(InetSocketAddress address, Trace trace) {
		this.address = address;
		this.trace = trace;
		start();
	}

	void start() {
		this.server = Http.serve(this.address, this::handle);
	}

	/**
	 * Ends the process of the origin: connections are reset or refused.
	 */
	void stop() {
		this.server.stop(0);
	}

	void setNewestVersion(long version) {
		this.newestVersion = version;
	}

	/**
	 * Has the next manifest reach its reader with one digit of one digest changed.
	 */
	void corruptNextManifest() {
		this.corruptNextManifest = true;
	}

	synchronized String answerCounts() {
		return this.answers + " answers, " + this.corrupted + " of them corrupted";
	}

	private void handle(HttpExchange exchange) throws IOException {
		long version = Http.number(exchange, "Version", this.newestVersion);
		String path = exchange.getRequestURI().getPath();
		if (version <= this.newestVersion - 2) {
			this.trace.log("origin answers 410 to %s", exchange.getRequestURI());
			Http.respondJson(exchange, 410, Map.of());
			return;
		}
		byte[] body = path.startsWith("/manifest/") ? manifest(version)
				: Weights.chunk(version, (int) Http.number(exchange, "SampleCount", 0));
		synchronized (this) {
			this.answers++;
		}
		this.trace.log("origin sends %s to %s", exchange.getRequestURI(), exchange.getRemoteAddress().getAddress());
		awaitLink(body.length);
		Http.respond(exchange, 200, body);
	}

	private synchronized byte[] manifest(long version) {
		List<String> digests = new ArrayList<>(Weights.digests(version));
		if (this.corruptNextManifest) {
			this.corruptNextManifest = false;
			this.corrupted++;
			int index = Weights.CHUNKS / 2;
			String digest = digests.get(index);
			digests.set(index, ((digest.charAt(0) == '0') ? '1' : '0') + digest.substring(1));
			this.trace.say("origin: one digit of the digest of chunk %d of version %d is corrupted", index, version);
		}
		return Json.bytes(Map.of("Model", Weights.MODEL, "Version", version, "ChunkBytes", Weights.CHUNK_BYTES,
				"layers", Weights.LAYERS, "Digests", digests));
	}

	private void awaitLink(int bytes) {
		long readyNanos;
		synchronized (this) {
			this.linkFreeNanos = Math.max(this.linkFreeNanos, System.nanoTime())
					+ Math.round(bytes / LINK_BYTES_PER_SECOND * 1e9);
			readyNanos = this.linkFreeNanos;
		}
		Pause.nanos(readyNanos - System.nanoTime());
	}

	@Override
	public void close() {
		stop();
	}

}
