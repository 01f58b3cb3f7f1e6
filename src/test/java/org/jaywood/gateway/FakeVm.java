package org.jaywood.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.TimedReport;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.UpstreamReport;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * VM on a loopback address of its own with an engine and its agent, which both stop while
 * it is suspended. Connections to it are still accepted then, as by the kernel of a
 * neighbour that holds them for it.
 */
final class FakeVm implements AutoCloseable {

	private static final long REPORT_INTERVAL_MILLIS = 200;

	private static final long EVENT_INTERVAL_MILLIS = 50;

	private static final LoadedWeights WEIGHTS = new LoadedWeights("model", 1, 0, 16);

	private final String id;

	private final String host;

	private final int eventCount;

	private final ServerSocket engine;

	private final HttpPort agent;

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger reportsSent = new AtomicInteger();

	private final AtomicInteger running = new AtomicInteger();

	private final CountDownLatch closed = new CountDownLatch(1);

	private volatile boolean engineSuspended;

	private volatile boolean agentSuspended;

	/**
	 * Starts a VM.
	 * @param agentPort port of its agent, or 0 for any
	 * @param eventCount events of each answer of its engine
	 */
	FakeVm(String id, String host, int agentPort, int eventCount) throws IOException {
		this.id = id;
		this.host = host;
		this.eventCount = eventCount;
		this.engine = new ServerSocket(0, 50, InetAddress.getByName(host));
		this.agent = HttpPort.open(new Address(host, agentPort), new EventLog("agent"))
			.route("GET", LoadSubscriptions.PATH, this::report)
			.start();
		Thread.ofVirtual().start(this::accept);
	}

	Upstream entry() {
		return new Upstream(this.id, "desk", new Address(this.host, this.engine.getLocalPort()), "dc", "region", 8,
				false, 0, 1, WEIGHTS);
	}

	int agentPort() {
		return this.agent.address().port();
	}

	/**
	 * Returns the number of requests that have arrived, read or not.
	 */
	int requests() {
		return this.requests.get();
	}

	int reportsSent() {
		return this.reportsSent.get();
	}

	void suspend() {
		this.engineSuspended = true;
		this.agentSuspended = true;
	}

	/**
	 * Suspends the agent only, while the engine goes on.
	 */
	void suspendAgent() {
		this.agentSuspended = true;
	}

	/**
	 * Ends the agent only: its connections close and its port refuses others.
	 */
	void stopAgent() {
		this.closed.countDown();
		this.agent.close();
	}

	private void report(Exchange exchange) throws IOException, InterruptedException {
		try (OutputStream out = exchange.stream(200, "application/x-ndjson")) {
			while (this.closed.getCount() > 0) {
				if (!this.agentSuspended) {
					UpstreamReport report = new UpstreamReport(this.id, this.running.get(), 0, false, 1, true, 0,
							WEIGHTS);
					out.write(Json.bytes(new TimedReport(BootClock.nowMillis(), null, report)));
					out.write('\n');
					out.flush();
					this.reportsSent.incrementAndGet();
				}
				Thread.sleep(REPORT_INTERVAL_MILLIS);
			}
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.engine.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test has closed the VM.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			String attemptId = "";
			int lastEvent = 0;
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				attemptId = line.startsWith("X-Attempt-Id: ") ? line.substring("X-Attempt-Id: ".length()) : attemptId;
				lastEvent = line.startsWith("Last-Event-Id: ")
						? Integer.parseInt(line.substring("Last-Event-Id: ".length())) : lastEvent;
				if (line.isEmpty()) {
					this.requests.incrementAndGet();
					stream(attemptId, lastEvent, socket.getOutputStream());
					return;
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The gateway has closed the connection.
		}
	}

	private void stream(String attemptId, int lastEvent, OutputStream out) throws IOException, InterruptedException {
		this.running.incrementAndGet();
		try {
			awaitRunning();
			GatewayFixture.write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptId
					+ "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int event = lastEvent + 1; event <= this.eventCount; event++) {
				awaitRunning();
				GatewayFixture.write(out, FakeUpstream.chunk("id: " + event + "\ndata: " + this.id + "\n\n"));
				Thread.sleep(EVENT_INTERVAL_MILLIS);
			}
			GatewayFixture.write(out, "0\r\n\r\n");
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private void awaitRunning() throws InterruptedException {
		while (this.engineSuspended && this.closed.getCount() > 0) {
			Thread.sleep(EVENT_INTERVAL_MILLIS);
		}
	}

	@Override
	public void close() throws IOException {
		this.closed.countDown();
		this.agent.close();
		this.engine.close();
	}

}
