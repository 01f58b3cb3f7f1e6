package org.jaywood.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * Upstream on a loopback port that responds to each request by a script.
 */
final class FakeUpstream implements AutoCloseable {

	private final ServerSocket server;

	private final @Nullable Script script;

	private final List<Request> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> unreadSockets = new CopyOnWriteArrayList<>();

	private final CountDownLatch connectionEnded = new CountDownLatch(1);

	private volatile boolean reset;

	FakeUpstream(@Nullable Script script) throws IOException {
		this.script = script;
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
	}

	/**
	 * Starts an upstream that accepts connections and reads nothing.
	 */
	static FakeUpstream neverReading() throws IOException {
		return new FakeUpstream(null);
	}

	Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	List<Request> requests() {
		return this.requests;
	}

	/**
	 * Whether a connection ended with a reset.
	 */
	boolean reset() {
		return this.reset;
	}

	CountDownLatch connectionEnded() {
		return this.connectionEnded;
	}

	static String response(Request request, int status, String headers, String body) {
		return "HTTP/1.1 " + status + " Status\r\nX-Attempt-Id: " + request.header("x-attempt-id")
				+ "\r\nX-Response-Seal: seal\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	static String streamHead(Request request) {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
				+ "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
	}

	static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				if (this.script != null) {
					Thread.ofVirtual().start(() -> serve(socket, this.script));
				}
				else {
					this.unreadSockets.add(socket);
				}
			}
		}
		catch (IOException ex) {
			// The test has closed the upstream.
		}
	}

	private void serve(Socket socket, Script answers) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			while (true) {
				Request request = read(in);
				if (request == null) {
					this.connectionEnded.countDown();
					return;
				}
				this.requests.add(request);
				answers.respond(request, this.requests.size(), socket.getOutputStream(), socket);
			}
		}
		catch (IOException ex) {
			this.reset = true;
			this.connectionEnded.countDown();
		}
	}

	private static Request read(BufferedReader in) throws IOException {
		String line = in.readLine();
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
		}
		char[] body = new char[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
		int read = 0;
		while (read < body.length) {
			read += in.read(body, read, body.length - read);
		}
		return new Request(line, headers, new String(body));
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/**
	 * Request as received.
	 */
	record Request(String line, Map<String, String> headers, String body) {

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

	}

	/**
	 * Reaction of the upstream to a request.
	 */
	interface Script {

		void respond(Request request, int number, OutputStream out, Socket socket) throws IOException;

	}

}
