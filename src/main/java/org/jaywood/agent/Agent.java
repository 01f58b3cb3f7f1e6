package org.jaywood.agent;

import java.util.Map;
import java.util.UUID;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.peer.PeerNode;
import org.jaywood.peer.ProcessIdentity;
import org.jaywood.wire.WireClient;

/**
 * The process beside one upstream. It is the only path to that upstream and the authority
 * on what the upstream may receive. This class only wires its parts together.
 */
public final class Agent implements AutoCloseable {

	private final AgentSettings settings;

	private final EventLog log;

	private final PeerNode peer;

	private final Admission admission = new Admission();

	private final Activation activation;

	public Agent(AgentSettings settings, EventLog log) {
		this.settings = settings;
		this.log = log;
		ProcessIdentity identity = new ProcessIdentity("agent", settings.vm(), settings.region(), settings.dataCentre(),
				UUID.randomUUID().toString(), settings.advertisedAddress());
		this.peer = new PeerNode(identity, settings.listenAddress(), settings.platformAddress(), settings.credential(),
				log, this.admission::leaving, settings.operatorAddress());
		WireClient upstream = WireClient.plain(settings.listenAddress().host());
		this.activation = new Activation(settings, this.admission,
				new EngineClient(upstream, settings.upstreamAddress()), log);
		new CallHandler(settings, this.peer.configuration(), this.admission, upstream).register(this.peer.port());
		this.peer.operatorPort(settings.operatorAddress())
			.route("GET", "/state", (exchange) -> exchange.respondJson(200, state()));
		this.peer.configuration()
			.onChange((configuration) -> Thread
				.startVirtualThread(() -> this.activation.activate(this.peer.configuration().current())));
	}

	public void start() {
		this.peer.start();
		this.log.log(Event.PROCESS_STARTED, "role", "agent", "address", this.settings.listenAddress());
	}

	/**
	 * Stops after the running calls have ended.
	 * @param nowMillis present time
	 */
	public void drain(long nowMillis) throws InterruptedException {
		this.admission.leave();
		this.log.log(Event.PROCESS_DRAINING, "role", "agent", "inFlight", this.admission.inFlight());
		this.admission.awaitIdle(this.settings.drainMillis());
		this.log.log(Event.PROCESS_STOPPED, "role", "agent", "seconds",
				(System.currentTimeMillis() - nowMillis) / 1000.0);
	}

	private Map<String, Object> state() {
		return Map.of("identity", this.peer.identity(), "generation", this.peer.configuration().current().generation(),
				"inFlight", this.admission.inFlight(), "servedWeights", this.activation.servedWeights(), "leaving",
				this.admission.leaving(), "peer", this.peer.state());
	}

	@Override
	public void close() {
		this.peer.close();
	}

}
