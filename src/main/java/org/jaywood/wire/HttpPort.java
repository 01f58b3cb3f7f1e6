package org.jaywood.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;

/**
 * Listening HTTP port of a process. One virtual thread serves each request from start to
 * end. Routes match by method and longest path prefix.
 */
public final class HttpPort implements AutoCloseable {

	static {
		// Jetty's provider, also on the class path, is for the caller port only.
		setPropertyIfAbsent("com.sun.net.httpserver.HttpServerProvider",
				"sun.net.httpserver.DefaultHttpServerProvider");
		// Without it small writes wait some 40 ms for the delayed acknowledgement.
		setPropertyIfAbsent("sun.net.httpserver.nodelay", "true");
		setPropertyIfAbsent("sun.net.httpserver.idleInterval", "60");
		setPropertyIfAbsent("sun.net.httpserver.maxReqHeaders", "100");
		setPropertyIfAbsent("sun.net.httpserver.maxReqHeaderSize", "32768");
		setPropertyIfAbsent("sun.net.httpserver.maxReqTime", "60");
		setPropertyIfAbsent("jdk.httpserver.maxConnections", "12000");
	}

	private static final int LENGTH_REQUIRED = 411;

	private final HttpServer server;

	private final ExecutorService defaultExecutor = Executors.newVirtualThreadPerTaskExecutor();

	private Executor executor = this.defaultExecutor;

	private final List<Route> routes = new CopyOnWriteArrayList<>();

	private final EventLog log;

	private final @Nullable Credential credential;

	private final Consumer<Exchange> interceptor;

	/**
	 * Closes the connection of the current request, or null if the server does so itself
	 * when a handler throws an exception, as that of the JDK does.
	 */
	private final @Nullable Runnable abortConnection;

	private HttpPort(HttpServer server, EventLog log, @Nullable Credential credential, Consumer<Exchange> interceptor,
			@Nullable Runnable abort) {
		this.server = server;
		this.log = log;
		this.credential = credential;
		this.interceptor = interceptor;
		this.abortConnection = abort;
		server.createContext("/", this::dispatch);
	}

	/**
	 * Opens a port of the JDK's server.
	 * @param address address to listen on
	 * @param log log for failures of handlers
	 * @param credential credential that each request must carry, or null for none
	 * @param interceptor called before the handler of each request, for common headers
	 * @return a port that does not accept requests before {@link #start}
	 */
	public static HttpPort open(Address address, EventLog log, @Nullable Credential credential,
			Consumer<Exchange> interceptor) {
		try {
			return new HttpPort(HttpServer.create(address.socketAddress(), 1024), log, credential, interceptor, null);
		}
		catch (IOException ex) {
			throw new WireException("cannot listen on " + address + ": " + ex.getMessage(), ex);
		}
	}

	public static HttpPort open(Address address, EventLog log) {
		return open(address, log, null, (exchange) -> {
		});
	}

	/**
	 * Opens a port on a server that, like that of the JDK, cuts the connection when a
	 * handler throws an exception.
	 */
	public static HttpPort forServer(HttpServer server, EventLog log) {
		return new HttpPort(server, log, null, (exchange) -> {
		}, null);
	}

	/**
	 * Opens a port on another implementation of the JDK's server API.
	 * @param server the server
	 * @param log log for failures of handlers
	 * @param abort closes the connection of the request that the current thread serves;
	 * run when a handler throws an exception, for servers that do not cut the connection
	 * themselves
	 */
	public static HttpPort forServer(HttpServer server, EventLog log, Runnable abort) {
		return new HttpPort(server, log, null, (exchange) -> {
		}, abort);
	}

	public HttpPort route(String method, String prefix, Handler handler) {
		this.routes.add(new Route(method, prefix, handler));
		return this;
	}

	/**
	 * Serves requests on the given executor instead of one virtual thread per request.
	 */
	public HttpPort withExecutor(Executor requestExecutor) {
		this.executor = requestExecutor;
		return this;
	}

	public HttpPort start() {
		// Jetty's server starts accepting as soon as its executor is set.
		this.server.setExecutor(this.executor);
		this.server.start();
		return this;
	}

	public Address address() {
		InetSocketAddress bound = this.server.getAddress();
		return new Address(bound.getAddress().getHostAddress(), bound.getPort());
	}

	private void dispatch(HttpExchange http) throws IOException {
		try {
			serve(http);
		}
		catch (IOException ex) {
			if (this.abortConnection != null) {
				this.abortConnection.run();
			}
			throw ex;
		}
	}

	private void serve(HttpExchange http) throws IOException {
		Exchange exchange = new Exchange(http);
		try {
			if (this.credential != null && !this.credential.accepts(exchange.header(Headers.CREDENTIAL))) {
				exchange.respondError(401, "missing or wrong credential");
				return;
			}
			if (this.abortConnection == null) {
				requireLength(exchange);
			}
			this.interceptor.accept(exchange);
			findHandler(exchange).handle(exchange);
		}
		catch (AbortedExchangeException ex) {
			throw new IOException(ex.getMessage(), ex);
		}
		catch (BadInputException ex) {
			respondFailure(exchange, ex.status(), ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
		catch (RuntimeException ex) {
			this.log.log(Event.HANDLER_FAILED, "method", exchange.method(), "path", exchange.path(), "error", ex);
			respondFailure(exchange, 500, ex);
		}
	}

	/**
	 * Rejects a request that should have a body and does not state its length. The JDK's
	 * server takes the end of the connection for the end of the head, so that the request
	 * may have broken off before that header.
	 */
	private static void requireLength(Exchange exchange) {
		boolean mayHaveBody = exchange.method().equals("POST") || exchange.method().equals("PUT");
		boolean hasLength = exchange.header("Content-Length") != null || exchange.header("Transfer-Encoding") != null;
		if (mayHaveBody && !hasLength) {
			throw new BadInputException(LENGTH_REQUIRED, "the length of the body is not stated");
		}
	}

	private static void respondFailure(Exchange exchange, int status, RuntimeException failure) throws IOException {
		if (exchange.responseStarted()) {
			throw new IOException("response already started", failure);
		}
		exchange.respondError(status, String.valueOf(failure.getMessage()));
	}

	private Handler findHandler(Exchange exchange) {
		String path = exchange.path();
		return this.routes.stream()
			.filter((route) -> route.matches(exchange.method(), path))
			.max(Comparator.comparingInt((route) -> route.prefix().length()))
			.map(Route::handler)
			.orElse((unknown) -> unknown.respondError(404, "no such resource: " + path));
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.defaultExecutor.shutdownNow();
		try {
			this.defaultExecutor.awaitTermination(1, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void setPropertyIfAbsent(String property, String value) {
		if (System.getProperty(property) == null) {
			System.setProperty(property, value);
		}
	}

	private record Route(String method, String prefix, Handler handler) {

		boolean matches(String requestMethod, String path) {
			boolean prefixMatches = this.prefix.endsWith("/") ? path.startsWith(this.prefix) : path.equals(this.prefix);
			return prefixMatches && (this.method.equals("*") || this.method.equals(requestMethod));
		}

	}

}
