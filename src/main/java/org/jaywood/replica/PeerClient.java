package org.jaywood.replica;

import java.io.IOException;
import java.io.InputStream;
import java.util.BitSet;
import java.util.function.Predicate;

import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

import org.jaywood.http.BufferedResponse;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.StreamedResponse;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.SnapshotReply;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Reads manifests and pieces from the agents of other engines, and digests from gateways.
 */
final class PeerClient {

	/** Prefix of the paths of weights at an agent. */
	static final String WEIGHTS_PATH_PREFIX = "/v1/weights/";

	/** Last segment of the path of a list of digests. */
	static final String MANIFEST_SEGMENT = "list";

	/** Last segment of the path of a stream of pieces. */
	static final String CHUNKS_SEGMENT = "pieces";

	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	/** A peer that streams pieces sends something several times in this time. */
	private static final long READ_TIMEOUT_MILLIS = 1_500;

	private static final long RESPONSE_MARGIN_MILLIS = 1_000;

	private final ConnectionPool pool;

	PeerClient(ConnectionPool pool) {
		this.pool = pool;
	}

	ChunkManifest fetchManifest(Address agent, ModelVersion weights, long waitMillis) throws IOException {
		return Json.read(get(agent, weightsPath(weights) + MANIFEST_SEGMENT + "?wait=" + waitMillis, waitMillis),
				ChunkManifest.class);
	}

	/**
	 * Receives pieces in the order in which they arrive at a peer, until all have come or
	 * the peer has got none for a while.
	 * @param far whether the peer lies in another region
	 * @param waitMillis longest wait for a piece that the peer is to get itself
	 * @param receiver takes each piece and tells whether more are wanted
	 * @throws ConnectionException if the peer cannot be reached
	 * @throws IOException if the peer refuses, is silent or breaks off
	 */
	void streamChunks(Address agent, ModelVersion weights, BitSet pieces, boolean far, long waitMillis,
			Predicate<LocalChunks.Chunk> receiver) throws IOException {
		String path = weightsPath(weights) + CHUNKS_SEGMENT + "?pieces=" + ChunkFrames.encodeIndexes(pieces) + "&wait="
				+ waitMillis + (far ? "&far=1" : "");
		ClientConnection connection = this.pool.acquire(agent, CONNECT_TIMEOUT_MILLIS);
		boolean whole = false;
		try {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", path);
			request.setHeader(HttpHeaders.HOST, agent.toString());
			connection.send(request, new byte[0]);
			StreamedResponse answer = connection.receive(READ_TIMEOUT_MILLIS);
			if (answer.status() != HttpStatus.SC_OK) {
				throw new IOException(agent + " answered " + answer.status() + " to " + path);
			}
			whole = receiveChunks(connection, answer.body(), receiver);
		}
		finally {
			if (whole) {
				this.pool.release(connection);
			}
			else {
				connection.close();
			}
		}
	}

	/**
	 * Reads pieces until the end of the stream, or until no more are wanted.
	 * @return whether the end was reached
	 */
	private static boolean receiveChunks(ClientConnection connection, InputStream body,
			Predicate<LocalChunks.Chunk> receiver) throws IOException {
		while (true) {
			connection.setReadDeadline(READ_TIMEOUT_MILLIS);
			LocalChunks.Chunk frame = ChunkFrames.read(body);
			if (frame == null) {
				return true;
			}
			if (!ChunkFrames.isHeartbeat(frame) && !receiver.test(frame)) {
				return false;
			}
		}
	}

	/**
	 * Asks a gateway for the digest of a service, if it is another one than that known.
	 * @param content hash of the digest that is known
	 * @param waitMillis wait of the gateway for another one
	 */
	SnapshotReply pollSnapshot(Address gateway, String service, long content, long waitMillis) throws IOException {
		return Json.read(get(gateway, "/v1/fleet?service=" + service + "&content=" + content + "&wait=" + waitMillis,
				waitMillis), SnapshotReply.class);
	}

	private static String weightsPath(ModelVersion weights) {
		return WEIGHTS_PATH_PREFIX + weights.model() + "/" + weights.version() + "/";
	}

	private byte[] get(Address peer, String path, long waitMillis) throws IOException {
		BufferedResponse answer = this.pool.exchange(peer, new BasicClassicHttpRequest("GET", path), new byte[0],
				waitMillis + RESPONSE_MARGIN_MILLIS);
		if (!answer.ok()) {
			throw new IOException(peer + " answered " + answer.status() + " to " + path);
		}
		return answer.body();
	}

}
