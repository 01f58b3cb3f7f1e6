package org.jaywood.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.jspecify.annotations.Nullable;

import org.jaywood.http.ClientConnection;
import org.jaywood.http.ConnectionException;
import org.jaywood.http.StreamedResponse;
import org.jaywood.wire.Address;

/**
 * Caller that sends one call after the other and keeps its connection open until the
 * gateway ends it. It notes what came of each call.
 */
final class SoakCaller implements Runnable {

	private static final String WHOLE = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

	private static final long ANSWER_MILLIS = 6_000;

	private final List<Address> gateways;

	private final String host;

	private final Random random;

	private final BooleanSupplier open;

	private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();

	private @Nullable ClientConnection connection;

	SoakCaller(List<Address> gateways, String host, long seed, BooleanSupplier open) {
		this.gateways = gateways;
		this.host = host;
		this.random = new Random(seed);
		this.open = open;
	}

	List<Outcome> outcomes() {
		return this.outcomes;
	}

	@Override
	public void run() {
		while (this.open.getAsBoolean()) {
			String attempt = UUID.randomUUID().toString();
			try {
				ClientConnection present = connect();
				present.send(request(attempt), "prompt".getBytes(StandardCharsets.US_ASCII));
				this.outcomes.add(receive(present, attempt));
			}
			catch (ConnectionException ex) {
				drop();
				this.outcomes.add(new Outcome(attempt, 0, ex.getMessage()));
			}
			catch (IOException ex) {
				drop();
				this.outcomes.add(new Outcome(attempt, 200, "cut: " + ex.getMessage()));
			}
		}
		drop();
	}

	private ClientConnection connect() throws ConnectionException {
		ClientConnection present = this.connection;
		if (present == null) {
			present = ClientConnection.open(this.gateways.get(this.random.nextInt(this.gateways.size())), 1_000);
			this.connection = present;
		}
		return present;
	}

	private void drop() {
		if (this.connection != null) {
			this.connection.close();
			this.connection = null;
		}
	}

	private BasicClassicHttpRequest request(String attempt) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/calls/a");
		request.setHeader(HttpHeaders.HOST, this.host);
		request.setHeader("X-Attempt-Id", attempt);
		request.setHeader("X-Deadline-Ms", "5000");
		request.setHeader(HttpHeaders.AUTHORIZATION, "Bearer " + PlatformProcesses.KEY);
		return request;
	}

	private Outcome receive(ClientConnection present, String attempt) throws IOException {
		StreamedResponse answer = present.receive(ANSWER_MILLIS);
		String body = new String(answer.body().readAllBytes(), StandardCharsets.UTF_8);
		Header closing = answer.head().getFirstHeader(HttpHeaders.CONNECTION);
		if (closing != null && closing.getValue().equalsIgnoreCase("close")) {
			drop();
		}
		Header seal = answer.head().getFirstHeader("X-Response-Seal");
		boolean own = seal != null && seal.getValue().equals("seal-" + attempt) && body.equals(WHOLE);
		return new Outcome(attempt, answer.status(), (answer.status() != 200 || own) ? null : "not its own: " + body);
	}

	/**
	 * What came of a call.
	 *
	 * @param attempt id of the call
	 * @param status status of the answer, 0 if there was none
	 * @param fault what is wrong with the answer, or null
	 */
	record Outcome(String attempt, int status, @Nullable String fault) {
	}

}
