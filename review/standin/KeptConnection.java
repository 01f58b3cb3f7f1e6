package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Connection of one client to a gateway, on which it sends one request after the other. It
 * never repeats a request by itself.
 */
final class KeptConnection implements AutoCloseable {

	private static final int TIMEOUT_MILLIS = 4_000;

	private final Socket socket;

	private final InputStream in;

	KeptConnection(String gateway) throws IOException {
		String[] parts = gateway.split(":");
		this.socket = new Socket(parts[0], Integer.parseInt(parts[1]));
		this.socket.setSoTimeout(TIMEOUT_MILLIS);
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream(), 512);
	}

	/**
	 * Sends a request and reads its whole answer, which must state its length.
	 * @param fillBytes size of a further header of the client
	 * @return status of the answer
	 */
	int get(String path, String id, int fillBytes) throws IOException {
		String fill = (fillBytes > 0) ? "Cookie: session=" + "x".repeat(fillBytes) + "\r\n" : "";
		this.socket.getOutputStream()
			.write(("GET " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: " + id
					+ "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nAuthorization: Bearer " + Deployment.KEY + "\r\n" + fill
					+ "\r\n")
				.getBytes(StandardCharsets.US_ASCII));
		int status = Integer.parseInt(line().split(" ")[1]);
		int length = 0;
		for (String header = line(); !header.isEmpty(); header = line()) {
			if (header.toLowerCase().startsWith("content-length:")) {
				length = Integer.parseInt(header.substring(header.indexOf(':') + 1).strip());
			}
		}
		if (this.in.readNBytes(length).length < length) {
			throw new IOException("the answer broke off");
		}
		return status;
	}

	private String line() throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = this.in.read(); next != '\n'; next = this.in.read()) {
			if (next < 0) {
				throw new IOException("closed without an answer");
			}
			line.append((char) next);
		}
		return line.toString().strip();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
