package org.jaywood.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.peer.PeerNode;
import org.jaywood.peer.ProcessIdentity;
import org.jaywood.platform.VmRecord;
import org.jaywood.platform.VmState;
import org.jaywood.weights.ChunkExchange;
import org.jaywood.weights.ExchangeState;
import org.jaywood.weights.WeightSettings;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;
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

	private final HttpPort enginePort;

	private final ChunkExchange exchange;

	private final SlotHolder slot;

	private final Activation activation;

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	public Agent(AgentSettings settings, EventLog log) {
		this.settings = settings;
		this.log = log;
		ProcessIdentity identity = new ProcessIdentity("agent", settings.vm(), settings.region(), settings.dataCentre(),
				UUID.randomUUID().toString(), settings.advertisedAddress());
		this.peer = new PeerNode(identity, settings.listenAddress(), settings.platformAddress(), settings.credential(),
				log, this.admission::leaving, settings.operatorAddress());
		WireClient upstream = WireClient.plain(settings.listenAddress().host());
		this.enginePort = HttpPort.open(new Address(settings.listenAddress().host(), 0), log);
		this.exchange = exchange();
		this.exchange.register(this.peer.port(), this.enginePort, settings.upstreamAddress().host());
		this.slot = new SlotHolder(new ActivationSlots(this.peer.platform(), settings.service(), identity.incarnation(),
				settings.leaseMillis()), settings.leaseMillis() / 3, log);
		this.activation = activation(identity, upstream);
		new CallHandler(settings, this.peer.configuration(), this.admission, upstream).register(this.peer.port());
		this.peer.operatorPort(settings.operatorAddress())
			.route("GET", "/state", (exchange) -> exchange.respondJson(200, state()));
		this.peer.configuration().onChange((configuration) -> this.activation.wake());
	}

	private ChunkExchange exchange() {
		VmRecord self = new VmRecord(this.settings.vm(), "agent", this.settings.service(), this.settings.region(),
				this.settings.dataCentre(), this.settings.advertisedAddress(), VmState.LIVE);
		WeightSettings weights = new WeightSettings(self, this.settings.storeAddress(), this.settings.storeRegion(),
				this.settings.stagingBytes(), this.settings.regionLinkBytesPerSecond());
		return new ChunkExchange(weights, this::receivers, this.peer.client(),
				WireClient.plain(this.settings.listenAddress().host()), this.log);
	}

	private Activation activation(ProcessIdentity identity, WireClient upstream) {
		EngineLease lease = new EngineLease(this.peer.platform(), this.settings.vm(), identity.incarnation(),
				this.settings.leaseMillis(), Activation.ORDER_TIMEOUT.toMillis());
		EngineClient engine = new EngineClient(upstream, this.settings.upstreamAddress());
		return new Activation(this.settings, this.peer.configuration()::current,
				new Activation.Parts(this.admission, engine, this.exchange, lease, this.slot,
						this.enginePort.address()),
				() -> (int) this.peer.membership().agentsOf(this.settings.service()).count(), this.log);
	}

	/**
	 * Agents whose services need a manifest, or any weights for the empty digest.
	 */
	private List<VmRecord> receivers(String manifest) {
		Set<String> services = this.peer.configuration()
			.deployment()
			.services()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue()
				.weights()
				.stream()
				.anyMatch((weights) -> manifest.isEmpty() || weights.manifest().equals(manifest)))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		return this.peer.membership()
			.live()
			.filter((vm) -> vm.role().equals("agent") && services.contains(vm.service()))
			.toList();
	}

	private void run(Task task) {
		this.tasks.execute(() -> {
			try {
				task.run();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	public void start() {
		this.peer.start();
		this.enginePort.start();
		this.exchange.start();
		run(this.activation::run);
		run(this.slot::run);
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
		Map<String, Object> state = new LinkedHashMap<>();
		state.put("identity", this.peer.identity());
		state.put("generation", this.peer.configuration().current().generation());
		state.put("inFlight", this.admission.inFlight());
		state.put("leaving", this.admission.leaving());
		ActivationState weights = this.activation.state();
		state.put("upstreamState", weights.upstreamState());
		state.put("behindReason", weights.behindReason());
		state.put("wantedWeights", weights.wantedWeights());
		state.put("servedWeights", weights.servedWeights());
		ExchangeState chunks = this.exchange.state();
		state.put("chunksVerified", chunks.chunksVerified());
		state.put("chunksWanted", chunks.chunksWanted());
		state.put("stagingBytes", chunks.stagingBytes());
		state.put("stagingLimitBytes", chunks.stagingLimitBytes());
		state.put("fetchedBytes", chunks.fetchedBytes());
		state.put("peer", this.peer.state());
		return state;
	}

	@Override
	public void close() {
		this.tasks.shutdownNow();
		this.exchange.close();
		this.enginePort.close();
		this.peer.close();
	}

	@FunctionalInterface
	private interface Task {

		void run() throws InterruptedException;

	}

}
