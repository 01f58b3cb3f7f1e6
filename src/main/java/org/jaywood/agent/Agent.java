package org.jaywood.agent;

import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ServiceKind;
import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.peer.PeerNode;
import org.jaywood.peer.ProcessIdentity;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.WireClient;

/**
 * The process beside one upstream. It is the only path to that upstream and the authority
 * on what the upstream may receive. This class only wires its parts together.
 */
public final class Agent implements AutoCloseable {

	private static final long WATCH_INTERVAL_MILLIS = 100;

	/** Two rounds of probes, so that peers learn of the leave from the agent itself. */
	private static final long ANNOUNCE_MILLIS = 2_000;

	/** Time for the last replies after the deadline of the last call. */
	private static final long DRAIN_MARGIN_MILLIS = 500;

	private static final LongSupplier CLOCK = System::currentTimeMillis;

	private final EventLog log;

	private final PeerNode peer;

	private final HttpPort operatorPort;

	private final CallSettings callSettings;

	private final Admission admission = new Admission();

	private final AttemptLedger ledger = new AttemptLedger();

	private final AnswerArchive archive = new AnswerArchive(256, 60_000, 8 * 1024 * 1024);

	private final RunningCalls calls = new RunningCalls();

	private final AgentMetrics metrics = new AgentMetrics(this.admission);

	private final Activation activation;

	private final EngineMonitor monitor;

	private final AtomicBoolean monitoring = new AtomicBoolean();

	private final String service;

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	public Agent(AgentSettings settings, CallSettings callSettings, EventLog log) {
		this.log = log;
		this.callSettings = callSettings;
		this.service = settings.service();
		ProcessIdentity identity = new ProcessIdentity("agent", settings.vm(), settings.region(), settings.dataCentre(),
				UUID.randomUUID().toString(), settings.advertisedAddress());
		this.peer = new PeerNode(identity, settings.listenAddress(), settings.platformAddress(), settings.credential(),
				log, this.admission::leaving);
		WireClient upstream = WireClient.plain(settings.listenAddress().host());
		EngineClient engine = new EngineClient(upstream, settings.upstreamAddress());
		this.activation = new Activation(settings, this.admission, engine, log);
		this.monitor = new EngineMonitor(engine, this.admission, this.activation::servedWeights, this::otherWeights,
				log);
		registerHandlers(settings, upstream);
		this.operatorPort = HttpPort.open(settings.operatorAddress(), log, settings.credential(), (exchange) -> {
		})
			.route("GET", "/state", (exchange) -> exchange.respondJson(200, state()))
			.route("GET", "/metrics", (exchange) -> exchange.respondJson(200, this.metrics.values()));
		this.peer.configuration().onChange((configuration) -> this.tasks.execute(this::configurationChanged));
	}

	private void registerHandlers(AgentSettings settings, WireClient upstream) {
		String incarnation = this.peer.identity().incarnation();
		// The peer node does not tell yet whether it is isolated.
		Gate gate = new Gate(incarnation, settings, this.peer.configuration(), () -> false);
		ModelContext model = new ModelContext(this.callSettings, settings.upstreamAddress(), upstream, this.admission,
				this.metrics, this.activation::servedWeights, () -> this.monitor.limitReset(this.admission.instance()),
				this::otherWeights, CLOCK);
		PlainRun plain = new PlainRun(this.callSettings, settings.upstreamAddress(), upstream, this.archive,
				this.ledger);
		new CallHandler(gate, this.admission, this.ledger, this.calls, plain, model, this.log)
			.register(this.peer.port());
		new CallControl(incarnation, this.admission, this.ledger, this.archive, this.calls, this.metrics, CLOCK)
			.register(this.peer.port());
	}

	public void start() {
		this.tasks.execute(this::watchCalls);
		this.peer.start();
		this.operatorPort.start();
		this.log.log(Event.PROCESS_STARTED, "role", "agent", "address", this.peer.port().address());
	}

	private void configurationChanged() {
		AppliedConfiguration current = this.peer.configuration().current();
		current.deployment().service(this.service).ifPresent((spec) -> {
			if (spec.kind() == ServiceKind.PLAIN) {
				this.admission.declarePlain(this.callSettings.plainConcurrency(), this.callSettings.plainMemoryBytes());
			}
			else if (this.monitoring.compareAndSet(false, true)) {
				this.tasks.execute(this.monitor);
			}
		});
		this.activation.activate(current);
	}

	private void otherWeights() {
		this.admission.close();
		this.log.log(Event.ENGINE_OTHER_WEIGHTS, "expected", this.activation.servedWeights());
		this.activation.invalidate();
		this.tasks.execute(() -> this.activation.activate(this.peer.configuration().current()));
	}

	private void watchCalls() {
		try {
			while (true) {
				int ended = this.calls.watch(CLOCK.getAsLong(), System.nanoTime(),
						this.callSettings.writeTimeoutMillis());
				if (ended > 0) {
					this.log.log(Event.CALLS_ENDED_BY_WATCHDOG, "count", ended);
				}
				TimeUnit.MILLISECONDS.sleep(WATCH_INTERVAL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Refuses new calls and waits until the running ones have ended, at most until the
	 * last of their deadlines, where the watchdog ends them. Meanwhile the ports go on
	 * answering fences, grants and probes.
	 * @param nowMillis present time
	 */
	public void drain(long nowMillis) throws InterruptedException {
		this.admission.leave();
		this.log.log(Event.PROCESS_DRAINING, "role", "agent", "inFlight", this.calls.count());
		TimeUnit.MILLISECONDS.sleep(ANNOUNCE_MILLIS);
		long deadlineMillis = this.calls.latestDeadlineMillis() + DRAIN_MARGIN_MILLIS;
		this.calls.awaitEmpty(Math.max(0, deadlineMillis - CLOCK.getAsLong()));
		this.log.log(Event.PROCESS_STOPPED, "role", "agent", "seconds", (CLOCK.getAsLong() - nowMillis) / 1000.0);
	}

	private Map<String, Object> state() {
		return Map.of("identity", this.peer.identity(), "generation", this.peer.configuration().current().generation(),
				"inFlight", this.admission.inFlight(), "calls", this.calls.count(), "servedWeights",
				this.activation.servedWeights(), "leaving", this.admission.leaving(), "load", this.admission.load(),
				"ledger",
				Map.of("routers", this.ledger.routers(), "closedRouters", this.ledger.closedRouters(),
						"archivedAnswers", this.archive.count(), "archivedBytes", this.archive.bytes()),
				"metrics", this.metrics.values());
	}

	@Override
	public void close() {
		this.tasks.shutdownNow();
		this.operatorPort.close();
		this.peer.close();
	}

}
