package org.jaywood.replica;

import java.io.IOException;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

import org.jaywood.http.ConnectionPool;
import org.jaywood.http.WholeAnswer;
import org.jaywood.routing.DigestReply;
import org.jaywood.routing.NamedWeights;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Reads manifests and pieces from the agents of other engines, and digests from gateways.
 */
final class PeerPieces {

	/** Prefix of the paths of weights at an agent. */
	static final String PREFIX = "/v1/weights/";

	/** Last segment of the path of a list of digests. */
	static final String LIST = "list";

	private static final long ANSWER_MARGIN_MILLIS = 1_000;

	private final ConnectionPool pool;

	PeerPieces(ConnectionPool pool) {
		this.pool = pool;
	}

	PieceList list(Address agent, NamedWeights weights, long waitMillis) throws IOException {
		return Json.read(get(agent, path(weights) + LIST + "?wait=" + waitMillis, waitMillis), PieceList.class);
	}

	/**
	 * Asks for a piece, for which the peer may wait itself.
	 * @param far whether the peer lies in another region
	 */
	byte[] piece(Address agent, NamedWeights weights, int index, boolean far, long waitMillis) throws IOException {
		return get(agent, path(weights) + index + "?wait=" + waitMillis + (far ? "&far=1" : ""), waitMillis);
	}

	/**
	 * Asks a gateway for the digest of a service, if it is another one than that known.
	 * @param content hash of the digest that is known
	 * @param waitMillis wait of the gateway for another one
	 */
	DigestReply digest(Address gateway, String service, long content, long waitMillis) throws IOException {
		return Json.read(get(gateway, "/v1/fleet?service=" + service + "&content=" + content + "&wait=" + waitMillis,
				waitMillis), DigestReply.class);
	}

	private static String path(NamedWeights weights) {
		return PREFIX + weights.model() + "/" + weights.version() + "/";
	}

	private byte[] get(Address peer, String path, long waitMillis) throws IOException {
		WholeAnswer answer = this.pool.exchange(peer, new BasicClassicHttpRequest("GET", path), new byte[0],
				waitMillis + ANSWER_MARGIN_MILLIS);
		if (!answer.ok()) {
			throw new IOException(peer + " answered " + answer.status() + " to " + path);
		}
		return answer.body();
	}

}
