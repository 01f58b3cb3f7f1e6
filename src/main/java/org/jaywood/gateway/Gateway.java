package org.jaywood.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.feed.FeedWatcher;
import org.jaywood.peer.MetricsText;
import org.jaywood.routing.RouteTable;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * The process on entry VMs that reaches upstreams directly: it takes calls, finds a place
 * for each, passes the answers on, and ends without cutting a call.
 */
public final class Gateway {

	/** Interval at which the store confirms the configuration, on which keys depend. */
	private static final long CONFIGURATION_WAIT_MILLIS = 1_900;

	/** Interval for the upstreams; leaving ones get no calls two seconds later. */
	private static final long UPSTREAMS_WAIT_MILLIS = 2_000;

	/**
	 * Pause while many upstreams come or change, in which changes are gathered; half of
	 * the time in which a leaving upstream must get no more calls.
	 */
	private static final long UPSTREAMS_GATHER_MILLIS = 1_000;

	private static final long DATA_CENTRES_WAIT_MILLIS = 3_900;

	private static final long WEIGHTS_WAIT_MILLIS = 6_500;

	/** Path at which agents ask for what they have to know. */
	private static final String FLEET_PATH = "/v1/fleet";

	private static final long MAX_DIGEST_WAIT_MILLIS = 5_000;

	private static final long TICK_MILLIS = 40;

	private static final int SWEEP_TICKS = 8;

	/** Time in which the balancer notices that no new callers are wanted. */
	private static final long UNREADY_MILLIS = 2_600;

	/** Time before the forced end at which the process ends by itself. */
	private static final long END_MARGIN_MILLIS = 500;

	/** Time in which the last answers reach their connections before the process ends. */
	private static final long ANSWER_MARGIN_MILLIS = 200;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final GatewaySettings settings;

	private final GatewayContext context;

	private final CallerConnections active;

	private final LoadSubscriptions subscriptions;

	private final List<FeedWatcher<?>> followers;

	private final SnapshotService digests;

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().name("tick").factory());

	private volatile @Nullable CallerListener listener;

	private @Nullable HttpPort readyPort;

	private @Nullable HttpPort operatorPort;

	private volatile boolean draining;

	private int ticks;

	public Gateway(GatewaySettings settings, CallProtocol protocol, GatewayFeeds feeds, EventLog log) {
		this.settings = settings;
		this.context = GatewayContext.create(settings, protocol, log);
		this.active = new CallerConnections(
				new CallAdmission(protocol, settings.keyLifetimeMillis(), settings.routeLifetimeMillis()));
		this.subscriptions = new LoadSubscriptions(this.context);
		StoreCache knowledge = this.context.storeCache();
		this.followers = List.of(new FeedWatcher<>(feeds.configuration(), CONFIGURATION_WAIT_MILLIS, (view) -> {
			knowledge.onConfiguration(view);
			this.subscriptions.onFleet();
		}, log), new FeedWatcher<>(feeds.upstreams(), UPSTREAMS_WAIT_MILLIS, UPSTREAMS_GATHER_MILLIS, (view) -> {
			knowledge.onUpstreams(view);
			this.subscriptions.onFleet();
		}, log), new FeedWatcher<>(feeds.closedDataCentres(), DATA_CENTRES_WAIT_MILLIS, (view) -> {
			knowledge.onClosedDataCentres(view);
			this.subscriptions.onFleet();
		}, log), new FeedWatcher<>(feeds.weights(), WEIGHTS_WAIT_MILLIS, knowledge::onWeights, log));
		this.digests = new SnapshotService(knowledge, () -> this.followers.stream().allMatch(FeedWatcher::reachable));
	}

	/**
	 * Opens the ports. Callers are answered at once, with a refusal while the
	 * configuration is not known.
	 */
	public void start() {
		EventLog log = this.context.log();
		this.followers.forEach(FeedWatcher::start);
		this.listener = new CallerListener(this.settings.caller(), this.context, this.active).start();
		this.readyPort = HttpPort.open(this.settings.ready(), log)
			.withExecutor(DaemonThreads.requestPool())
			.route("GET", this.settings.readyPath(),
					(exchange) -> exchange.respond(ready() ? 200 : 503, "text/plain",
							(ready() ? "ready\n" : "not ready\n").getBytes(StandardCharsets.US_ASCII)))
			.start();
		this.operatorPort = HttpPort.open(this.settings.operator(), log)
			.withExecutor(DaemonThreads.requestPool())
			.route("GET", "/metrics", (exchange) -> MetricsText.respond(exchange, this.context.metrics().registry()))
			.route("GET", FLEET_PATH, this::sendDigest)
			.route("GET", "/dump", (exchange) -> exchange.respondJson(200, dump()))
			.start();
		this.timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
		log.log(Event.PROCESS_STARTED, "role", "gateway", "address", this.settings.caller());
	}

	/**
	 * Port on which callers connect, once started.
	 */
	int callerPort() {
		return Objects.requireNonNull(this.listener).port();
	}

	/**
	 * Whether new callers may connect.
	 */
	boolean ready() {
		return !this.draining && this.context.storeCache().complete();
	}

	/**
	 * Ends the process without cutting a call: new callers go elsewhere first, then the
	 * port and idle connections end by themselves, and each call gets its answer.
	 */
	public void drain(long nowMillis) throws InterruptedException {
		long sinceMillis = BootClock.nowMillis();
		long endMillis = sinceMillis + this.settings.graceMillis() - END_MARGIN_MILLIS;
		this.context.log().log(Event.PROCESS_DRAINING, "role", "gateway", "inFlight", this.active.busy());
		this.draining = true;
		this.active.drain(sinceMillis + UNREADY_MILLIS, endMillis - ANSWER_MARGIN_MILLIS);
		CallerListener port = this.listener;
		if (port != null) {
			port.awaitClosed(endMillis - BootClock.nowMillis());
		}
		this.active.awaitNone(endMillis - BootClock.nowMillis());
		this.context.log()
			.log(Event.PROCESS_STOPPED, "role", "gateway", "seconds",
					(BootClock.nowMillis() - sinceMillis) / MILLIS_PER_SECOND);
	}

	/**
	 * Tells an agent what it has to know, once that differs from what it has.
	 */
	private void sendDigest(Exchange exchange) throws IOException, InterruptedException {
		String service = exchange.query().getOrDefault("service", "");
		long known = exchange.queryLong("content", 0);
		long waitMillis = Math.clamp(exchange.queryLong("wait", 0), 0, MAX_DIGEST_WAIT_MILLIS);
		exchange.respondJson(200, this.digests.await(service, known, waitMillis));
	}

	/**
	 * Does the periodic work. An error must not leave it, since that would end all
	 * further ticks.
	 */
	private void tick() {
		try {
			tick(BootClock.nowMillis());
		}
		catch (RuntimeException ex) {
			this.context.log().log(Event.TASK_FAILED, "task", "tick", "error", ex);
		}
	}

	private void tick(long nowMillis) {
		this.active.stallDetector().tick(nowMillis);
		this.context.storeCache().onTick(nowMillis);
		this.context.dispatcher().tick(nowMillis);
		this.ticks++;
		if (this.ticks % SWEEP_TICKS == 0) {
			this.active.closeOverdue(nowMillis);
			this.context.resizeBudgets(nowMillis);
		}
	}

	private Object dump() {
		long nowMillis = BootClock.nowMillis();
		StoreCache knowledge = this.context.storeCache();
		RouteTable table = knowledge.table();
		return new Dump((table != null) ? table.version() : -1, nowMillis - knowledge.confirmedMillis(), ready(),
				this.active.open(), this.active.busy(), this.context.dispatcher().gateways(nowMillis),
				this.context.dispatcher().describe(nowMillis));
	}

	/**
	 * State of the process, for the operator.
	 *
	 * @param configuration version in force, or -1
	 * @param configurationAgeMillis time since it was last confirmed
	 * @param ready whether new callers may connect
	 * @param connections open connections of callers
	 * @param calls calls under way
	 * @param gateways gateways that share the upstreams
	 * @param upstreams one line for each upstream
	 */
	record Dump(long configuration, long configurationAgeMillis, boolean ready, int connections, long calls,
			int gateways, List<String> upstreams) {
	}

}
