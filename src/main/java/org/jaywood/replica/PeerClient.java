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
import org.jaywood.http.ResponseLimits;
import org.jaywood.http.StreamedResponse;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.SnapshotReply;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Reads manifests and chunks from the agents of other engines, and service snapshots from
 * gateways.
 */
final class PeerClient {

	/** Prefix of the paths of weights at an agent. */
	static final String WEIGHTS_PATH_PREFIX = "/v1/weights/";

	/** Last segment of the path of a manifest. */
	static final String MANIFEST_SEGMENT = "list";

	/** Last segment of the path of a stream of chunks. */
	static final String CHUNKS_SEGMENT = "pieces";

	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	/** Read time-out; a peer that streams chunks sends several frames in this time. */
	private static final long READ_TIMEOUT_MILLIS = 1_500;

	private static final long RESPONSE_MARGIN_MILLIS = 1_000;

	/** Largest manifest, or snapshot of a service. */
	private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

	private final ConnectionPool pool;

	PeerClient(ConnectionPool pool) {
		this.pool = pool;
	}

	ChunkManifest fetchManifest(Address agent, ModelVersion version, long waitMillis) throws IOException {
		return Json.read(get(agent, weightsPath(version) + MANIFEST_SEGMENT + "?wait=" + waitMillis, waitMillis),
				ChunkManifest.class);
	}

	/**
	 * Receives chunks in the order in which they arrive at a peer, until all are received
	 * or the peer has received none for a while.
	 * @param inOtherRegion whether the peer is in another region
	 * @param waitMillis maximum wait for a chunk that the peer has yet to receive
	 * @param receiver accepts each chunk and returns whether more are needed
	 * @throws ConnectionException if the peer cannot be reached
	 * @throws IOException if the peer refuses, is silent or closes the connection early
	 */
	void streamChunks(Address agent, ModelVersion version, BitSet chunkIndexes, boolean inOtherRegion, long waitMillis,
			Predicate<LocalChunks.Chunk> receiver) throws IOException {
		String path = weightsPath(version) + CHUNKS_SEGMENT + "?pieces=" + ChunkFrames.encodeIndexes(chunkIndexes)
				+ "&wait=" + waitMillis + (inOtherRegion ? "&far=1" : "");
		ClientConnection connection = this.pool.acquire(agent, CONNECT_TIMEOUT_MILLIS);
		boolean endReached = false;
		try {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", path);
			request.setHeader(HttpHeaders.HOST, agent.toString());
			connection.send(request, new byte[0]);
			StreamedResponse response = connection.receive(READ_TIMEOUT_MILLIS);
			if (response.status() != HttpStatus.SC_OK) {
				throw new IOException(agent + " answered " + response.status() + " to " + path);
			}
			endReached = receiveChunks(connection, response.body(), receiver);
		}
		finally {
			if (endReached) {
				this.pool.release(connection);
			}
			else {
				connection.close();
			}
		}
	}

	/**
	 * Reads chunks until the end of the stream, or until no more are needed.
	 * @return whether the end of the stream was reached
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
	 * Polls a gateway for the snapshot of a service if its content hash differs.
	 * @param contentHash hash of the known snapshot
	 * @param waitMillis maximum wait of the gateway for a change
	 */
	SnapshotReply pollSnapshot(Address gateway, String service, long contentHash, long waitMillis) throws IOException {
		return Json.read(get(gateway,
				"/v1/fleet?service=" + service + "&content=" + contentHash + "&wait=" + waitMillis, waitMillis),
				SnapshotReply.class);
	}

	private static String weightsPath(ModelVersion version) {
		return WEIGHTS_PATH_PREFIX + version.model() + "/" + version.version() + "/";
	}

	private byte[] get(Address peer, String path, long waitMillis) throws IOException {
		BufferedResponse response = this.pool.exchange(peer, new BasicClassicHttpRequest("GET", path), new byte[0],
				new ResponseLimits(waitMillis + RESPONSE_MARGIN_MILLIS, MAX_RESPONSE_BYTES));
		if (!response.ok()) {
			throw new IOException(peer + " answered " + response.status() + " to " + path);
		}
		return response.body();
	}

}
