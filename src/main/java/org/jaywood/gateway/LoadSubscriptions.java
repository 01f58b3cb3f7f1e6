package org.jaywood.gateway;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.TaskGuard;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.StreamedResponse;
import org.jaywood.routing.AgentLoss;
import org.jaywood.routing.EvidenceMessage;
import org.jaywood.routing.TimedReport;
import org.jaywood.routing.UpstreamReport;
import org.jaywood.wire.Address;
import org.jaywood.wire.BoundedLineReader;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Json;

/**
 * Subscriptions to the load reports of agents, with one task and one connection for each
 * agent. An agent runs on the VM of its engine, so its host is that of the engine in the
 * list of upstreams.
 */
final class LoadSubscriptions implements AutoCloseable {

	/** Path at which an agent streams its reports. */
	static final String PATH = "/v1/load";

	private static final long CONNECT_TIMEOUT_MILLIS = 500;

	/** Silence that ends a subscription. Agents send at least three reports in it. */
	private static final long REPORT_TIMEOUT_MILLIS = 1_500;

	/** Largest report. */
	private static final int MAX_REPORT_BYTES = 16 * 1024;

	private static final long FIRST_BACKOFF_MILLIS = 200;

	private static final long MAX_BACKOFF_MILLIS = 1_500;

	private final GatewayContext context;

	private final Map<Address, Thread> tasks = new ConcurrentHashMap<>();

	private volatile Map<Address, String> upstreamIds = Map.of();

	LoadSubscriptions(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Subscribes to the agents of the engines that the dispatcher has selected. Tasks of
	 * other engines end when they find their engine no longer selected.
	 */
	void refresh() {
		this.upstreamIds = this.context.dispatcher().subscribedEngines();
		this.upstreamIds.keySet()
			.forEach((address) -> this.tasks.computeIfAbsent(address,
					(key) -> DaemonThreads.startDaemon("follow-" + key, () -> receiveUntilUnsubscribed(key))));
	}

	private void receiveUntilUnsubscribed(Address engine) {
		Address agent = new Address(engine.host(), this.context.settings().agentPort());
		long backoffMillis = FIRST_BACKOFF_MILLIS;
		boolean lost = false;
		while (this.upstreamIds.containsKey(engine)) {
			try {
				lost = !receive(engine, agent, lost) || lost;
			}
			catch (RuntimeException | Error ex) {
				new TaskGuard("follow-" + engine, this.context.log()).onError(ex);
			}
			try {
				Thread.sleep(backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis));
			}
			catch (InterruptedException ex) {
				return;
			}
			backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
		}
		this.tasks.remove(engine);
	}

	/**
	 * Receives reports until the connection to the agent ends.
	 * @param lost whether the loss of the agent has been logged already
	 * @return whether the stream ended without an error
	 */
	private boolean receive(Address engine, Address agent, boolean lost) {
		AgentLoss loss = AgentLoss.CLOSED;
		try {
			receive(engine, agent);
			return true;
		}
		catch (IOException | RuntimeException ex) {
			loss = lossBy(ex);
			if (!lost) {
				this.context.log().log(Event.AGENT_LOST, "agent", agent, "error", ex.getMessage(), "loss", loss);
			}
			return false;
		}
		finally {
			onAgentLost(engine, loss);
			this.context.evidenceExchange().relay().onDisconnected(agent);
		}
	}

	private static AgentLoss lossBy(Exception failure) {
		boolean timedOut = failure instanceof SocketTimeoutException
				|| failure.getCause() instanceof SocketTimeoutException;
		return timedOut ? AgentLoss.SILENT : AgentLoss.CLOSED;
	}

	private void onAgentLost(Address engine, AgentLoss loss) {
		String id = this.upstreamIds.get(engine);
		if (id != null) {
			this.context.dispatcher().onAgentLost(id, loss);
		}
	}

	private void receive(Address engine, Address agent) throws IOException {
		try (ClientConnection connection = ClientConnection.open(agent, CONNECT_TIMEOUT_MILLIS)) {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET",
					PATH + "?gateway=" + this.context.settings().operatorAddress() + "&dataCentre="
							+ this.context.settings().dispatch().dataCentre());
			request.setHeader("Host", agent.toString());
			connection.send(request, new byte[0]);
			StreamedResponse response = connection.receive(REPORT_TIMEOUT_MILLIS);
			BoundedLineReader lines = new BoundedLineReader(response.body(), MAX_REPORT_BYTES);
			this.context.log().log(Event.AGENT_FOUND, "agent", agent);
			this.context.evidenceExchange().relay().onConnected(agent);
			for (byte[] line = lines.nextLine(); line != null; line = lines.nextLine()) {
				connection.setReadDeadline(REPORT_TIMEOUT_MILLIS);
				TimedReport report = Json.read(line, TimedReport.class);
				String id = this.upstreamIds.get(engine);
				if (id == null) {
					return;
				}
				long nowMillis = BootClock.nowMillis();
				this.context.dispatcher().onReportDelay(id, report.sentMillis(), nowMillis);
				receiveEvidence(agent, report.evidence(), nowMillis);
				receiveReport(engine, id, report.report(), nowMillis);
			}
		}
	}

	private void receiveEvidence(Address agent, @Nullable EvidenceMessage evidence, long nowMillis) {
		if (evidence != null) {
			this.context.evidenceExchange().relay().onReceived(agent, evidence, nowMillis);
			this.context.screen().merge(evidence, nowMillis);
		}
	}

	private void receiveReport(Address engine, String id, @Nullable UpstreamReport report, long nowMillis) {
		if (report != null) {
			this.context.dispatcher().onReport(id, report, nowMillis);
			this.context.screen().onReport(engine, report, nowMillis);
		}
	}

	@Override
	public void close() {
		this.upstreamIds = Map.of();
		this.tasks.values().forEach(Thread::interrupt);
	}

}
