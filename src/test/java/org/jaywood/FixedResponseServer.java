package org.jaywood;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.jaywood.wire.Address;

/**
 * Process on a loopback port that answers requests with fixed bytes, whatever they ask,
 * and keeps its connections open.
 */
public final class FixedResponseServer implements AutoCloseable {

	private final ServerSocket server;

	private final String first;

	private final String others;

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger requests = new AtomicInteger();

	/**
	 * Starts a process.
	 * @param first response to the first request
	 * @param others response to all other requests
	 */
	public FixedResponseServer(String first, String others) {
		this.first = first;
		this.others = others;
		try {
			this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		Thread.ofVirtual().start(this::accept);
	}

	/**
	 * Starts a process with the same response to all requests.
	 */
	public FixedResponseServer(String response) {
		this(response, response);
	}

	public Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	/**
	 * Returns the number of connections so far.
	 */
	public int connections() {
		return this.connections.get();
	}

	/**
	 * Returns the number of requests so far.
	 */
	public int requests() {
		return this.requests.get();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.connections.incrementAndGet();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test has closed the server.
		}
	}

	/**
	 * Responds to each head of a request, at its empty line. Bodies must hold none.
	 */
	private void serve(Socket socket) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				if (line.isEmpty()) {
					String response = (this.requests.incrementAndGet() == 1) ? this.first : this.others;
					socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
				}
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
