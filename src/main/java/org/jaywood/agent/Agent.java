package org.jaywood.agent;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ServiceKind;
import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.peer.PeerNode;
import org.jaywood.peer.ProcessIdentity;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.weights.ChunkExchange;
import org.jaywood.weights.WeightSettings;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.WireClient;

/**
 * The process that runs next to one upstream. All calls to the upstream pass through it,
 * and it alone decides which ones the upstream receives. This class only connects its
 * components.
 */
public final class Agent implements AutoCloseable {

	private static final long WATCHDOG_INTERVAL_MILLIS = 100;

	/**
	 * Interval without calls; the watchdog checks a first call late by at most this time.
	 */
	private static final long IDLE_WATCHDOG_INTERVAL_MILLIS = 500;

	/**
	 * Two rounds of probes, so that peers learn from the agent itself that it is leaving.
	 */
	private static final long LEAVE_ANNOUNCEMENT_MILLIS = 2_000;

	/** Time for the last responses after the deadline of the last call. */
	private static final long DRAIN_MARGIN_MILLIS = 500;

	private static final LongSupplier CLOCK = System::currentTimeMillis;

	private final EventLog log;

	private final AgentSettings settings;

	private final CallSettings callSettings;

	private final PeerNode peer;

	private final AdmissionController admission = new AdmissionController();

	private final AttemptRegistry attempts = new AttemptRegistry();

	private final FinishedAnswerCache finishedAnswers = new FinishedAnswerCache(256, 60_000, 8 * 1024 * 1024);

	private final RunningCalls calls = new RunningCalls();

	private final HttpPort enginePort;

	private final ChunkExchange exchange;

	private final ActivationSlotLease slotLease;

	private final EngineReconciler reconciler;

	private final EngineStatusPoller statusPoller;

	private final AtomicBoolean pollerStarted = new AtomicBoolean();

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	public Agent(AgentSettings settings, CallSettings callSettings, EventLog log) {
		this.settings = settings;
		this.callSettings = callSettings;
		this.log = log;
		ProcessIdentity identity = new ProcessIdentity("agent", settings.vm(), settings.region(), settings.dataCentre(),
				UUID.randomUUID().toString(), settings.advertisedAddress());
		this.peer = new PeerNode(identity, settings.listenAddress(), settings.platformAddress(), settings.credential(),
				log, this::draining, settings.operatorAddress());
		WireClient upstreamClient = WireClient.plain(settings.listenAddress().host());
		EngineClient engineClient = new EngineClient(upstreamClient, settings.upstreamAddress());
		this.enginePort = HttpPort.open(new Address(settings.listenAddress().host(), 0), log);
		this.exchange = exchange();
		this.exchange.register(this.peer.port(), this.enginePort, settings.upstreamAddress().host());
		this.slotLease = new ActivationSlotLease(new ActivationSlots(this.peer.platform(), settings.service(),
				identity.incarnation(), settings.leaseMillis()), settings.leaseMillis() / 3, log);
		ModelCallContext modelContext = modelContext(upstreamClient);
		CallPreconditions preconditions = preconditions(identity.incarnation());
		this.reconciler = reconciler(identity, engineClient, new WarmUp(modelContext, this.calls, preconditions));
		this.statusPoller = new EngineStatusPoller(engineClient, this.admission, this.reconciler::onServedWeights,
				this.reconciler::wake, log);
		registerHandlers(upstreamClient, modelContext, preconditions);
		AgentDump dump = new AgentDump(this.peer, this.admission, this.calls, this.attempts, this.finishedAnswers,
				this.reconciler, this.exchange);
		this.peer.operatorPort(settings.operatorAddress())
			.route("GET", "/state", (request) -> request.respondJson(200, dump.values()));
		this.peer.configuration().onChange(this::configurationChanged);
	}

	private ModelCallContext modelContext(WireClient upstreamClient) {
		return new ModelCallContext(this.callSettings, this.settings.upstreamAddress(), upstreamClient, this.admission,
				new AgentMetrics(this.admission, this.peer.metrics()), () -> this.reconciler.state().servedWeights(),
				() -> this.statusPoller.onLimitReset(this.admission.instance()),
				(served) -> this.reconciler.onServedWeights(served), CLOCK);
	}

	private CallPreconditions preconditions(String incarnation) {
		return new CallPreconditions(incarnation, this.settings, this.peer.configuration(),
				() -> this.peer.isolated(CLOCK.getAsLong()), this::draining,
				() -> this.admission.reportsNoOtherWeights(this.reconciler.state().servedWeights()));
	}

	private void registerHandlers(WireClient upstreamClient, ModelCallContext modelContext,
			CallPreconditions preconditions) {
		String incarnation = this.peer.identity().incarnation();
		PlainCallRunner plainRunner = new PlainCallRunner(this.callSettings, this.settings.upstreamAddress(),
				upstreamClient, this.finishedAnswers, this.attempts);
		new CallHandler(preconditions, this.admission, this.attempts, this.calls, plainRunner, modelContext, this.log)
			.register(this.peer.port());
		new CallControl(incarnation, this.admission, this.attempts, this.finishedAnswers, this.calls,
				modelContext.metrics(), CLOCK)
			.register(this.peer.port());
	}

	/**
	 * Whether this agent is shutting down or the VM list of the platform shows its VM as
	 * leaving. A router that cannot reach the platform learns the latter only from this
	 * agent.
	 */
	private boolean draining() {
		return this.admission.shuttingDown() || this.peer.membership().isListedAsLeaving(this.settings.vm());
	}

	private ChunkExchange exchange() {
		VmRecord self = new VmRecord(this.settings.vm(), "agent", this.settings.service(), this.settings.region(),
				this.settings.dataCentre(), this.settings.advertisedAddress(), VmState.LIVE);
		WeightSettings weights = new WeightSettings(self, this.settings.storeAddress(), this.settings.storeRegion(),
				this.settings.stagingBytes(), this.settings.regionLinkBytesPerSecond(), this.settings.weightMode());
		return new ChunkExchange(weights, this::weightReceivers, this.peer.client(),
				WireClient.plain(this.settings.listenAddress().host()), this.log);
	}

	private EngineReconciler reconciler(ProcessIdentity identity, EngineClient engineClient, WarmUp warmUp) {
		EngineLease lease = new EngineLease(this.peer.platform(), this.settings.vm(), identity.incarnation(),
				this.settings.leaseMillis(), EngineReconciler.ORDER_TIMEOUT.toMillis());
		return new EngineReconciler(this.settings, this.peer.configuration()::current,
				new EngineReconciler.Collaborators(this.admission, engineClient, this.exchange, lease, this.slotLease,
						this.calls, warmUp, this.enginePort.address()),
				() -> (int) this.peer.membership().agentsOf(this.settings.service()).count(), this.log);
	}

	/**
	 * Returns the live agents whose services need a manifest.
	 * @param manifest digest of the manifest; empty for agents that need any weights
	 */
	private List<VmRecord> weightReceivers(String manifest) {
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

	public void start() {
		this.enginePort.start();
		this.exchange.start();
		run("watchdog", this::runWatchdog);
		this.peer.start();
		run("activation", this.reconciler::run);
		run("activation slot", this.slotLease::run);
		this.log.log(Event.PROCESS_STARTED, "role", "agent", "address", this.settings.listenAddress());
	}

	private void run(String name, TaskGuard.InterruptibleTask task) {
		this.tasks.execute(() -> new TaskGuard(name, this.log).repeat(task, this.tasks::isShutdown));
	}

	private void configurationChanged(AppliedConfiguration current) {
		current.deployment().service(this.settings.service()).ifPresent((spec) -> {
			if (spec.kind() == ServiceKind.PLAIN) {
				this.admission.setFixedLimits(this.callSettings.plainConcurrency(),
						this.callSettings.plainMemoryBytes());
			}
			else if (this.pollerStarted.compareAndSet(false, true)) {
				this.tasks.execute(this.statusPoller);
			}
		});
		this.reconciler.wake();
	}

	private void runWatchdog() throws InterruptedException {
		while (true) {
			int endedCalls = this.calls.cancelOverdue(CLOCK.getAsLong(), System.nanoTime(),
					this.callSettings.writeTimeoutMillis());
			if (endedCalls > 0) {
				this.log.log(Event.CALLS_ENDED_BY_WATCHDOG, "count", endedCalls);
			}
			TimeUnit.MILLISECONDS
				.sleep((this.calls.count() > 0) ? WATCHDOG_INTERVAL_MILLIS : IDLE_WATCHDOG_INTERVAL_MILLIS);
		}
	}

	/**
	 * Refuses new calls and waits until the running ones have ended, at the latest after
	 * the last of their deadlines, when the watchdog ends them. Meanwhile the ports still
	 * serve fences, credit grants and probes.
	 * @param nowMillis present time
	 */
	public void drain(long nowMillis) throws InterruptedException {
		this.admission.beginShutdown();
		this.log.log(Event.PROCESS_DRAINING, "role", "agent", "inFlight", this.calls.count());
		TimeUnit.MILLISECONDS.sleep(LEAVE_ANNOUNCEMENT_MILLIS);
		long deadlineMillis = this.calls.latestDeadlineMillis() + DRAIN_MARGIN_MILLIS;
		this.calls.awaitEmpty(Math.max(0, deadlineMillis - CLOCK.getAsLong()));
		this.log.log(Event.PROCESS_STOPPED, "role", "agent", "seconds", (CLOCK.getAsLong() - nowMillis) / 1000.0);
	}

	@Override
	public void close() {
		this.tasks.shutdownNow();
		this.exchange.close();
		this.enginePort.close();
		this.peer.close();
	}

}
