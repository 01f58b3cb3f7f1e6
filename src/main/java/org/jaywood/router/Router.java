package org.jaywood.router;

import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.peer.PeerNode;
import org.jaywood.peer.ProcessIdentity;
import org.jaywood.routing.RetryBudget;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.MemoryBudget;
import org.jaywood.wire.MemoryLimits;
import org.jaywood.wire.MemoryUse;

/**
 * Process on a VM that receives the calls of callers. It selects an upstream for each
 * call and tracks the call until its result is known.
 */
public final class Router implements AutoCloseable {

	/**
	 * Largest number of unused retries that accumulate, so that a failure of many agents
	 * does not cause a burst of retries.
	 */
	private static final int MAX_SAVED_RETRIES = 50;

	private static final long STALL_CHECK_INTERVAL_MILLIS = 250;

	/**
	 * Largest number of expired claims that one pass deletes. Passes start at least a
	 * second apart, so they add at most 200 writes a second.
	 */
	private static final int MAX_DELETIONS_PER_PASS = 200;

	/**
	 * While calls are queued, the router checks for free capacity at this interval, so it
	 * detects free capacity no later than that.
	 */
	private static final long PROBE_INTERVAL_MILLIS = 25;

	private final RouterSettings settings;

	private final EventLog log;

	private final PeerNode peer;

	private final RouterMetrics metrics = new RouterMetrics();

	private final Watchdog watchdog;

	private final MemoryBudget callerMemory;

	private final FairScheduler scheduler;

	private final ScheduledExecutorService sweepExecutor = Executors
		.newSingleThreadScheduledExecutor(Thread.ofVirtual().name("claim sweep").factory());

	private final CallerHandler callerHandler;

	private final HttpPort callerPort;

	private final ClaimSweeper claimSweeper;

	private volatile boolean draining;

	public Router(RouterSettings settings, EventLog log) {
		this.settings = settings;
		this.log = log;
		this.watchdog = new Watchdog(log);
		ProcessIdentity identity = new ProcessIdentity("router", settings.vm(), settings.region(),
				settings.dataCentre(), UUID.randomUUID().toString(), settings.advertisedAddress());
		this.peer = new PeerNode(identity, settings.listenAddress(), settings.platformAddress(), settings.credential(),
				log, () -> this.draining, settings.operatorAddress(), settings.callerAddress());
		// Deadlines must not depend on the wall clock, which may be changed while
		// the process runs.
		LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		RouterLimits limits = RouterLimits.DEFAULT;
		this.callerMemory = new MemoryBudget(MemoryLimits.ofTotal(limits.callerMemoryBytes()));
		this.watchdog.runEvery(STALL_CHECK_INTERVAL_MILLIS,
				() -> this.callerMemory.evictWaiting(limits.writeStallMillis(), clock.getAsLong()));
		this.scheduler = new FairScheduler(limits.maxQueuedCalls(), clock);
		this.scheduler.setQueueListener(new CapacityProbe(this.watchdog, PROBE_INTERVAL_MILLIS, this.scheduler::probe,
				() -> this.scheduler.queuedCalls() > 0)::start);
		CallRelay relay = createRelay(identity, clock);
		this.claimSweeper = new ClaimSweeper(this.peer.platform(), MAX_DELETIONS_PER_PASS);
		ClaimRegistry claims = new ClaimRegistry(this.peer.platform(), relay, clock);
		this.callerHandler = new CallerHandler(this.peer.configuration(), relay, claims, this.callerMemory,
				new BodyReader(limits, this.watchdog, clock), limits, this.metrics, () -> this.draining, clock);
		this.callerPort = CallerPort.open(settings.callerAddress(), log);
		this.callerHandler.register(this.callerPort);
		this.peer.operatorPort(settings.operatorAddress())
			.route("GET", "/state", (exchange) -> exchange.respondJson(200, state()));
	}

	private CallRelay createRelay(ProcessIdentity identity, LongSupplier clock) {
		RouterLimits limits = RouterLimits.DEFAULT;
		long nowMillis = clock.getAsLong();
		UpstreamTable upstreams = new UpstreamTable();
		ByteRateLimiter regionRateLimiter = new ByteRateLimiter(limits.regionBytesPerSecond(), nowMillis);
		UpstreamSelector selector = new UpstreamSelector(identity, this.peer.membership(), upstreams, regionRateLimiter,
				limits.subsetSize(), () -> ThreadLocalRandom.current().nextLong());
		AgentClient agents = new AgentClient(this.peer.client(), identity.incarnation(), upstreams, clock,
				limits.agentWindowBytes());
		RetryBudget retryBudget = new RetryBudget(limits.retryRatio(), limits.retryFloorPerSecond(), MAX_SAVED_RETRIES,
				nowMillis);
		return new CallRelay(this.peer.configuration(), selector, upstreams, agents, retryBudget, this.scheduler,
				regionRateLimiter, this.watchdog, limits, this.metrics, clock);
	}

	public void start() {
		this.peer.start();
		this.callerPort.start();
		// Routers that start together know few others, so several may elect themselves;
		// the random delay keeps them from sweeping at the same time.
		scheduleSweep(ThreadLocalRandom.current().nextLong(this.claimSweeper.nextPassDelayMillis(0)));
		this.log.log(Event.PROCESS_STARTED, "role", "router", "address", this.callerPort.address());
	}

	/**
	 * Refuses new calls and returns after the running ones have ended or the drain time
	 * is over.
	 * @param wallMillis present time of the wall clock
	 */
	public void drain(long wallMillis) throws InterruptedException {
		this.draining = true;
		this.log.log(Event.PROCESS_DRAINING, "role", "router", "inFlight", this.callerHandler.inFlight());
		long deadlineMillis = wallMillis + this.settings.drainMillis();
		while (this.callerHandler.inFlight() > 0 && System.currentTimeMillis() < deadlineMillis) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		this.log.log(Event.PROCESS_STOPPED, "role", "router", "seconds",
				(System.currentTimeMillis() - wallMillis) / 1000.0);
	}

	private void scheduleSweep(long delayMillis) {
		this.sweepExecutor.schedule(this::sweep, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void sweep() {
		int deleted = 0;
		try {
			long wallMillis = System.currentTimeMillis();
			if (SweeperElection.isElected(this.peer.membership().live(), this.settings.vm(), wallMillis)) {
				deleted = this.claimSweeper.sweep(wallMillis);
			}
			if (deleted > 0) {
				this.log.log(Event.CLAIMS_DELETED, "count", deleted);
			}
		}
		catch (RuntimeException | Error ex) {
			new TaskGuard("claim sweep", this.log).onError(ex);
		}
		finally {
			scheduleSweep(this.claimSweeper.nextPassDelayMillis(deleted));
		}
	}

	private Map<String, Object> state() {
		return Map.of("identity", this.peer.identity(), "generation", this.peer.configuration().current().generation(),
				"inFlight", this.callerHandler.inFlight(), "waiting", this.scheduler.queuedCalls(), "leaving",
				this.draining, "metrics", this.metrics.state(), "peer", this.peer.state(), "held",
				Map.of("bytes", this.callerMemory.reservedBytes(), "callers", this.callerMemory.openReservations(),
						"aborted", this.callerMemory.evictions(MemoryUse.ROUTER_CALLER)));
	}

	@Override
	public void close() {
		this.callerPort.close();
		this.peer.close();
		this.watchdog.close();
		this.sweepExecutor.shutdownNow();
	}

}
