package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;

/**
 * Small HTTP server on a loopback address.
 */
final class Http {

	private static final int BACKLOG = 512;

	private Http() {
	}

	static HttpServer serve(InetSocketAddress address, HttpHandler handler) {
		try {
			HttpServer server = HttpServer.create(address, BACKLOG);
			server.createContext("/", (exchange) -> {
				try (exchange) {
					handler.handle(exchange);
				}
			});
			server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
			server.start();
			return server;
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot listen on " + address, ex);
		}
	}

	static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		String raw = exchange.getRequestURI().getRawQuery();
		for (String part : ((raw != null) ? raw : "").split("&")) {
			String[] pair = part.split("=", 2);
			if (pair.length == 2) {
				query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	static long number(HttpExchange exchange, String name, long missing) {
		return Long.parseLong(query(exchange).getOrDefault(name, Long.toString(missing)));
	}

	static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		exchange.getResponseBody().write(body);
	}

	static void respondJson(HttpExchange exchange, int status, Object body) throws IOException {
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		respond(exchange, status, Json.bytes(body));
	}

}
