import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in of the origin of weights. */
final class Origin implements AutoCloseable {

	private final HttpServer server;

	private final Record record;

	Origin(String host, int port, Record record) throws IOException {
		this.record = record;
		this.server = HttpServer.create(new InetSocketAddress(host, port), 48);
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/manifest/", this::manifest);
		this.server.createContext("/piece/", this::piece);
		this.server.start();
	}

	private void manifest(HttpExchange exchange) throws IOException {
		long version = Long.parseLong(Store.query(exchange.getRequestURI().getRawQuery()).get("Version"));
		List<Object> digests = new ArrayList<>();
		for (int index = 0; index < Weights.PIECES; index++) {
			digests.add(Weights.digest(Weights.piece(version, index)));
		}
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("Model", exchange.getRequestURI().getPath().split("/")[2]);
		body.put("Version", version);
		body.put("ChunkBytes", Weights.PIECE_BYTES);
		body.put("layers", Weights.LAYERS);
		body.put("Digests", digests);
		this.record.say("origin: manifest of version %d sent to %s", version,
				exchange.getRemoteAddress().getAddress().getHostAddress());
		Store.respond(exchange, 200, Json.write(body));
	}

	private void piece(HttpExchange exchange) throws IOException {
		Map<String, String> query = Store.query(exchange.getRequestURI().getRawQuery());
		byte[] bytes = Weights.piece(Long.parseLong(query.get("Version")),
				Integer.parseInt(query.get("SampleCount")));
		exchange.sendResponseHeaders(200, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
