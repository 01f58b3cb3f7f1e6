package org.jaywood.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.feed.BootClock;
import org.jaywood.feed.FeedWatcher;
import org.jaywood.peer.MetricsText;
import org.jaywood.routing.BlockedParts;
import org.jaywood.routing.RouteTable;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.MemoryBudget;

/**
 * The process on entry VMs that accepts calls, places each on an upstream, sends it there
 * directly, forwards the response, and shuts down without cutting a call.
 */
public final class Gateway implements AutoCloseable {

	/**
	 * Long poll of the configuration: the interval at which the store confirms it, which
	 * decides whether keys are accepted.
	 */
	private static final long CONFIGURATION_POLL_MILLIS = 1_900;

	/** Long poll of the upstreams; a leaving one must get no calls after two seconds. */
	private static final long UPSTREAMS_POLL_MILLIS = 2_000;

	/**
	 * Interval for which changes are batched while many upstreams are added or change;
	 * half of the time after which a leaving upstream must get no more calls.
	 */
	private static final long UPSTREAMS_BATCH_MILLIS = 1_000;

	private static final long DATA_CENTRES_POLL_MILLIS = 3_900;

	private static final long TARGET_VERSIONS_POLL_MILLIS = 6_500;

	/** Path at which agents poll the snapshot of their service. */
	private static final String SNAPSHOT_PATH = "/v1/fleet";

	private static final long MAX_SNAPSHOT_WAIT_MILLIS = 5_000;

	private static final long TICK_MILLIS = 40;

	private static final int TICKS_PER_SWEEP = 8;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final GatewaySettings settings;

	private final GatewayContext context;

	private final CallerConnections connections;

	private final LoadSubscriptions subscriptions;

	private final List<FeedWatcher<?>> watchers;

	private final SnapshotService snapshotService;

	private final PartTrialRunner partTrials;

	private final @Nullable ClusterSingletons singletons;

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().name("tick").factory());

	private volatile @Nullable CallerListener listener;

	private @Nullable HttpPort readyPort;

	private @Nullable HttpPort operatorPort;

	private volatile boolean draining;

	private int ticks;

	/**
	 * Creates a gateway without singletons of a leader.
	 */
	public Gateway(GatewaySettings settings, CallProtocol protocol, GatewayFeeds feeds, TrialLeases trialLeases,
			EventLog log) {
		this(settings, protocol, feeds, trialLeases, null, log);
	}

	/**
	 * Creates a gateway.
	 * @param leaderPorts connections of the singletons of a leader, or null if there are
	 * none
	 */
	public Gateway(GatewaySettings settings, CallProtocol protocol, GatewayFeeds feeds, TrialLeases trialLeases,
			@Nullable LeaderPorts leaderPorts, EventLog log) {
		this.settings = settings;
		GatewayMetrics metrics = new GatewayMetrics();
		this.singletons = (leaderPorts != null) ? ClusterSingletons.create(settings, leaderPorts, metrics, log) : null;
		this.context = GatewayContext.create(settings, protocol, metrics,
				(this.singletons != null) ? this.singletons.meter() : CallMeter.NONE, log);
		if (this.singletons != null) {
			this.singletons.attach(this.context);
		}
		this.connections = new CallerConnections(
				new CallAdmission(protocol, settings.keyLifetimeMillis(), settings.routeLifetimeMillis()),
				settings.limits().maxConnections());
		this.subscriptions = new LoadSubscriptions(this.context);
		StoreCache storeCache = this.context.storeCache();
		this.context.metrics().registerStoreEra(storeCache::era);
		this.partTrials = new PartTrialRunner(this.context.screen(),
				new DurableTrialLeases(trialLeases, storeCache::era), log);
		this.watchers = List.of(new FeedWatcher<>(feeds.configuration(), CONFIGURATION_POLL_MILLIS, (view) -> {
			storeCache.onConfiguration(view);
			this.subscriptions.refresh();
		}, log), new FeedWatcher<>(feeds.upstreams(), UPSTREAMS_POLL_MILLIS, UPSTREAMS_BATCH_MILLIS, (view) -> {
			storeCache.onUpstreams(view);
			this.subscriptions.refresh();
		}, log), new FeedWatcher<>(feeds.closedDataCentres(), DATA_CENTRES_POLL_MILLIS, (view) -> {
			storeCache.onClosedDataCentres(view);
			this.subscriptions.refresh();
		}, log), new FeedWatcher<>(feeds.targetVersions(), TARGET_VERSIONS_POLL_MILLIS, storeCache::onTargetVersions,
				log));
		this.snapshotService = new SnapshotService(storeCache,
				() -> this.watchers.stream().allMatch(FeedWatcher::isReachable));
	}

	/**
	 * Opens the ports. Callers are accepted at once and refused while the configuration
	 * is not known.
	 */
	public void start() {
		EventLog log = this.context.log();
		this.watchers.forEach(FeedWatcher::start);
		this.listener = new CallerListener(this.settings.callerAddress(), this.context, this.connections).start();
		this.readyPort = HttpPort.open(this.settings.readyAddress(), log)
			.withExecutor(DaemonThreads.requestPool())
			.route("GET", this.settings.readyPath(),
					(exchange) -> exchange.respond(ready() ? 200 : 503, "text/plain",
							(ready() ? "ready\n" : "not ready\n").getBytes(StandardCharsets.US_ASCII)))
			.start();
		this.operatorPort = HttpPort.open(this.settings.operatorAddress(), log)
			.withExecutor(DaemonThreads.requestPool())
			.route("GET", "/metrics", (exchange) -> MetricsText.respond(exchange, this.context.metrics().registry()))
			.route("GET", SNAPSHOT_PATH, this::sendSnapshot)
			.route("GET", "/dump", (exchange) -> exchange.respondJson(200, dump()))
			.route("POST", CallExplainer.PATH, new CallExplainer(this.context, this.connections)::handle);
		ClusterSingletons active = this.singletons;
		if (active != null) {
			active.addRoutes(this.operatorPort);
		}
		this.operatorPort.start();
		if (active != null) {
			active.start();
		}
		TaskGuard guard = new TaskGuard("tick", log);
		this.timer.scheduleWithFixedDelay(() -> guard.run(() -> tick(BootClock.nowMillis())), TICK_MILLIS, TICK_MILLIS,
				TimeUnit.MILLISECONDS);
		log.log(Event.PROCESS_STARTED, "role", "gateway", "address", this.settings.callerAddress());
	}

	/**
	 * Returns the port on which callers connect, once started.
	 */
	int callerPort() {
		return Objects.requireNonNull(this.listener).port();
	}

	/**
	 * Returns the memory that this gateway holds for others.
	 */
	MemoryBudget memory() {
		return this.context.memory();
	}

	/**
	 * Whether new callers may connect.
	 */
	boolean ready() {
		return !this.draining && this.context.storeCache().loaded();
	}

	/**
	 * Shuts down gracefully, without cutting a call: readiness is withdrawn first, so
	 * that new callers use other gateways; then idle connections close by themselves, and
	 * each call gets its final response. The port closes last, since callers may connect
	 * until then, above all while all gateways shut down.
	 */
	public void drain(long nowMillis) throws InterruptedException {
		long sinceMillis = BootClock.nowMillis();
		ShutdownSchedule schedule = ShutdownSchedule.begin(sinceMillis, this.settings.shutdownGraceMillis());
		this.context.log().log(Event.PROCESS_DRAINING, "role", "gateway", "inFlight", this.connections.busyCount());
		this.draining = true;
		this.connections.drain(schedule);
		CallerListener port = this.listener;
		if (port != null) {
			port.awaitClosed(schedule.exitMillis() - BootClock.nowMillis());
		}
		this.connections.awaitAllClosed(schedule.exitMillis() - BootClock.nowMillis());
		long unanswered = this.connections.reportProcessEnd();
		this.context.log()
			.log(Event.PROCESS_STOPPED, "role", "gateway", "seconds",
					(BootClock.nowMillis() - sinceMillis) / MILLIS_PER_SECOND, "connections",
					this.connections.openCount(), "calls", this.connections.busyCount(), "unanswered", unanswered);
	}

	/**
	 * Ends the tasks and ports at once, whatever calls are in progress. Those of a leader
	 * end with the process.
	 */
	@Override
	public void close() {
		this.draining = true;
		this.timer.shutdownNow();
		this.watchers.forEach(FeedWatcher::close);
		this.subscriptions.close();
		this.connections.drain(ShutdownSchedule.begin(BootClock.nowMillis(), 0));
		Stream.of(this.readyPort, this.operatorPort).filter(Objects::nonNull).forEach(HttpPort::close);
	}

	/**
	 * Sends an agent the snapshot of its service, once it differs from the one that the
	 * agent has.
	 */
	private void sendSnapshot(Exchange exchange) throws IOException, InterruptedException {
		String service = exchange.query().getOrDefault("service", "");
		long knownHash = exchange.queryLong("content", 0);
		long waitMillis = Math.clamp(exchange.queryLong("wait", 0), 0, MAX_SNAPSHOT_WAIT_MILLIS);
		exchange.respondJson(200, this.snapshotService.await(service, knownHash, waitMillis));
	}

	/**
	 * Does the periodic work.
	 */
	private void tick(long nowMillis) {
		this.connections.stallDetector().tick(nowMillis);
		this.context.storeCache().onTick(nowMillis);
		this.context.dispatcher().onTick(nowMillis);
		this.context.evidenceExchange().onTick(nowMillis);
		this.ticks++;
		if (this.ticks % TICKS_PER_SWEEP == 0) {
			this.connections.closeOverdue(nowMillis);
			this.context.pool().closeExpired(System.nanoTime());
			this.context.resizeBudgets(nowMillis);
			this.context.screen().onTick(nowMillis);
			this.partTrials.onTick();
		}
	}

	/**
	 * Returns the state of the process.
	 */
	Dump dump() {
		long nowMillis = BootClock.nowMillis();
		StoreCache storeCache = this.context.storeCache();
		RouteTable table = storeCache.table();
		return new Dump((table != null) ? table.version() : -1, nowMillis - storeCache.confirmedMillis(),
				storeCache.era(), ready(), this.connections.openCount(), this.connections.busyCount(),
				this.context.dispatcher().lastReportedGateways(nowMillis),
				this.context.dispatcher().describe(nowMillis), this.context.screen().evidence().blocked(),
				(this.singletons != null) ? this.singletons.describe(nowMillis) : null);
	}

	/**
	 * State of the process, for the operator.
	 *
	 * @param configuration version in force, or -1 if none is known
	 * @param configurationAgeMillis time since it was last confirmed
	 * @param storeEra highest era of the store that was seen
	 * @param ready whether new callers may connect
	 * @param connections open connections of callers
	 * @param calls connections with a call in progress
	 * @param gateways number of gateways that share the upstreams
	 * @param upstreams one line for each upstream
	 * @param blockedParts parts of prompts that crash engines
	 * @param leader lease of the leader and state of its tasks, or null if there are none
	 */
	record Dump(long configuration, long configurationAgeMillis, long storeEra, boolean ready, int connections,
			long calls, int gateways, List<String> upstreams, List<BlockedParts> blockedParts,
			@Nullable Map<String, Object> leader) {
	}

}
