import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Caller with one connection that it keeps, which sends one request after the other. */
final class Client implements AutoCloseable {

	/** How one attempt ended. */
	record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String problem) {

		boolean served() {
			return this.complete && this.status == 200 && this.headers.containsKey("x-response-seal");
		}

	}

	private final String host;

	private final int port;

	private Socket socket;

	private InputStream in;

	private boolean connected;

	Client(String host, int port) {
		this.host = host;
		this.port = port;
	}

	/** Whether the last request found or got a connection. */
	boolean connected() {
		return this.connected;
	}

	/**
	 * Sends a request and reads its answer.
	 * @param waitMillis time for the whole answer
	 */
	Answer send(String head, byte[] body, long waitMillis) {
		long endNanos = System.nanoTime() + waitMillis * 1_000_000;
		Answer answer;
		try {
			this.connected = this.socket != null;
			if (this.socket == null) {
				connect();
				this.connected = true;
			}
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			out.write(head.getBytes(StandardCharsets.ISO_8859_1));
			out.write(body);
			this.socket.getOutputStream().write(out.toByteArray());
			answer = read(endNanos);
		}
		catch (SocketTimeoutException ex) {
			answer = new Answer(0, Map.of(), new byte[0], false, "no answer in time");
		}
		catch (IOException ex) {
			answer = new Answer(0, Map.of(), new byte[0], false, String.valueOf(ex.getMessage()));
		}
		boolean close = !answer.complete() || "close".equalsIgnoreCase(answer.headers().get("connection"));
		if (close) {
			close();
		}
		return answer;
	}

	private void connect() throws IOException {
		this.socket = new Socket();
		this.socket.setTcpNoDelay(true);
		this.socket.connect(new InetSocketAddress(this.host, this.port), 1_000);
		this.in = new java.io.BufferedInputStream(this.socket.getInputStream());
	}

	private int read1(long endNanos) throws IOException {
		long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
		if (leftMillis <= 0) {
			throw new SocketTimeoutException();
		}
		this.socket.setSoTimeout((int) Math.max(1, leftMillis));
		return this.in.read();
	}

	private String line(long endNanos) throws IOException {
		StringBuilder line = new StringBuilder();
		int c = read1(endNanos);
		while (c >= 0 && c != '\n') {
			if (c != '\r') {
				line.append((char) c);
			}
			c = read1(endNanos);
		}
		if (c < 0) {
			throw new IOException("the connection ended");
		}
		return line.toString();
	}

	private Answer read(long endNanos) throws IOException {
		String status = line(endNanos);
		if (!status.matches("HTTP/1\\.1 \\d\\d\\d.*")) {
			throw new IOException("bytes that are no answer: " + status);
		}
		Map<String, String> headers = new HashMap<>();
		for (String line = line(endNanos); !line.isEmpty(); line = line(endNanos)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		int code = Integer.parseInt(status.substring(9, 12));
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
				readChunks(body, endNanos);
			}
			else {
				for (int left = Integer.parseInt(headers.getOrDefault("content-length", "0")); left > 0; left--) {
					body.write(required(read1(endNanos)));
				}
			}
			return new Answer(code, headers, body.toByteArray(), true, "");
		}
		catch (IOException ex) {
			return new Answer(code, headers, body.toByteArray(), false, "incomplete: " + ex.getMessage());
		}
	}

	private void readChunks(ByteArrayOutputStream body, long endNanos) throws IOException {
		int length = Integer.parseInt(line(endNanos).strip(), 16);
		while (length > 0) {
			for (int i = 0; i < length; i++) {
				body.write(required(read1(endNanos)));
			}
			line(endNanos);
			length = Integer.parseInt(line(endNanos).strip(), 16);
		}
		line(endNanos);
	}

	private static int required(int c) throws IOException {
		if (c < 0) {
			throw new IOException("the connection ended");
		}
		return c;
	}

	@Override
	public void close() {
		Socket open = this.socket;
		this.socket = null;
		if (open != null) {
			try {
				open.close();
			}
			catch (IOException ex) {
				// It is closed.
			}
		}
	}

}
