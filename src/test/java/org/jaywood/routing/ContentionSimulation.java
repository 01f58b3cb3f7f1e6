package org.jaywood.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Simulates calls against the dispatchers of some gateways with fake engines, whose
 * reports are late, and keeps what each caller got.
 */
final class ContentionSimulation {

	static final int SLOTS = 12;

	static final long SLOT_MILLIS = 400;

	/** Time from the start of a call at its engine to the first event. */
	private static final long FIRST_EVENT_MILLIS = 60;

	/** Time from sending to the first event that gateways expect at full engines. */
	private static final long EXPECTED_FIRST_EVENT_MILLIS = 170;

	private static final long IMPATIENT_MILLIS = 50;

	private static final long STEP_MILLIS = 2;

	private static final long REPORT_MILLIS = 100;

	private static final long REPORT_LAG_MILLIS = 200;

	private final Random random = new Random(7);

	private final List<Dispatcher> gateways;

	private final List<Engine> engines;

	private final List<Source> sources = new ArrayList<>();

	private final List<Caller> callers = new ArrayList<>();

	private final PriorityQueue<Caller> returning = new PriorityQueue<>(
			Comparator.comparingLong((caller) -> caller.nextMillis));

	private final List<Caller> waiting = new ArrayList<>();

	private boolean callersReturn;

	private String impatientWorkspace = "";

	private long firstLoadedMillis;

	private long loadIntervalMillis;

	/**
	 * Creates a simulation.
	 * @param sharing whether the routes have several priorities; otherwise the order is
	 * that of services with one priority
	 */
	ContentionSimulation(int gatewayCount, int engineCount, boolean sharing) {
		this.engines = IntStream.range(0, engineCount).mapToObj((number) -> new Engine("engine-" + number)).toList();
		RouteTable table = sharing ? RoutingFixtures.table(route(0), route(1), route(2)) : RoutingFixtures.table();
		this.gateways = IntStream.range(0, gatewayCount).mapToObj((number) -> {
			Dispatcher dispatcher = new Dispatcher(
					new DispatchSettings("gateway-" + number, "doto", "kushiro-a", 1.5, 5, 2_200, 7_000));
			dispatcher.onRouteTable(table, 0);
			dispatcher.onFleet(RoutingFixtures.fleet(this.engines.stream().map(Engine::entry).toArray(Upstream[]::new)),
					0);
			return dispatcher;
		}).toList();
	}

	static Route route(int priority) {
		return new Route("route-" + priority, "host", "/" + priority + "/", RetryPolicy.RESUMABLE_STREAM, 6_000, 400,
				priority, List.of(new ServiceShare(RoutingFixtures.ENGINE_SERVICE, 1)), 3, false, Set.of());
	}

	double capacityPerSecond() {
		return this.engines.size() * SLOTS * 1_000.0 / SLOT_MILLIS;
	}

	/** Has callers come back when they are told to, within a third of their time. */
	ContentionSimulation withReturns() {
		this.callersReturn = true;
		return this;
	}

	/** Has callers of a workspace come back at once, whatever they are told. */
	ContentionSimulation withImpatient(String workspace) {
		this.impatientWorkspace = workspace;
		return this;
	}

	/**
	 * Has engines load their weights one after the other after a start.
	 * @param firstMillis time at which the first engine has loaded
	 */
	ContentionSimulation withLoading(long firstMillis, long intervalMillis) {
		this.firstLoadedMillis = firstMillis;
		this.loadIntervalMillis = intervalMillis;
		return this;
	}

	ContentionSimulation with(Source source) {
		this.sources.add(source);
		return this;
	}

	/**
	 * Runs the simulation.
	 * @return all callers, in the order in which they first came
	 */
	List<Caller> run(long millis) {
		double[] due = new double[this.sources.size()];
		for (long nowMillis = 0; nowMillis < millis; nowMillis += STEP_MILLIS) {
			report(nowMillis);
			for (Engine engine : this.engines) {
				engine.run(nowMillis);
			}
			for (int i = 0; i < due.length; i++) {
				Source source = this.sources.get(i);
				due[i] = Math.max(due[i], source.fromMillis());
				for (; due[i] <= nowMillis
						&& nowMillis < source.untilMillis(); due[i] += -Math.log(1 - this.random.nextDouble()) * 1_000
								/ source.perSecond()) {
					Caller caller = new Caller(source, nowMillis, this.callers.size());
					this.callers.add(caller);
					send(caller, nowMillis);
				}
			}
			while (!this.returning.isEmpty() && this.returning.peek().nextMillis <= nowMillis) {
				send(this.returning.poll(), nowMillis);
			}
			if (nowMillis % 40 == 0) {
				for (Dispatcher gateway : this.gateways) {
					gateway.onTick(nowMillis);
				}
			}
			updateWaiting(nowMillis);
		}
		return this.callers;
	}

	private void report(long nowMillis) {
		if (nowMillis % REPORT_MILLIS == 0) {
			this.engines.forEach((engine) -> {
				List<Dispatcher> subscribers = this.gateways.stream()
					.filter((gateway) -> gateway.subscribedEngines().containsValue(engine.id))
					.toList();
				UpstreamReport report = engine.report(subscribers.size(), nowMillis);
				subscribers.forEach((gateway) -> gateway.onReport(engine.id, report, nowMillis));
			});
		}
	}

	private void send(Caller caller, long nowMillis) {
		Source source = caller.source;
		Dispatcher gateway = this.gateways.get(source.gateway());
		long spentMillis = nowMillis - caller.cameMillis;
		caller.sends++;
		boolean late = spentMillis > source.targetMillis() / 2;
		caller.requirements = new CallRequirements("call-" + caller.number + "-" + caller.sends,
				RoutingFixtures.ENGINE_SERVICE, Set.of(), source.workspace(), source.priority(),
				late ? CallRequirements.QueueClass.LATE : CallRequirements.QueueClass.ON_TIME, true, source.cost(),
				OptionalLong.empty(), Set.of());
		long waitMillis = late ? 500 : Math.max(25, source.targetMillis() - EXPECTED_FIRST_EVENT_MILLIS - spentMillis);
		caller.sentMillis = nowMillis;
		caller.waitUntilMillis = nowMillis + waitMillis;
		Optional<QueuedCall> offered = gateway.hasEligibleUpstream(caller.requirements, nowMillis)
				? gateway.offer(caller.requirements, waitMillis, nowMillis) : Optional.empty();
		offered.ifPresentOrElse((queued) -> {
			caller.queued = queued;
			this.waiting.add(caller);
		}, () -> refuse(caller, nowMillis));
		updateWaiting(nowMillis);
	}

	private void refuse(Caller caller, long nowMillis) {
		caller.refusedAfterMillis.add(nowMillis - caller.sentMillis);
		caller.refusedMillis.add(nowMillis);
		long leftMillis = caller.cameMillis + 6_000 - nowMillis;
		long retryMillis = this.gateways.get(caller.source.gateway())
			.retryAfterMillis(caller.requirements, leftMillis, nowMillis);
		caller.retryAfterMillis.add(retryMillis);
		if (this.callersReturn && leftMillis > 600) {
			caller.nextMillis = nowMillis + (caller.source.workspace().equals(this.impatientWorkspace)
					? IMPATIENT_MILLIS : Math.min(retryMillis, leftMillis / 3));
			this.returning.add(caller);
		}
	}

	private void updateWaiting(long nowMillis) {
		for (Caller caller : List.copyOf(this.waiting)) {
			QueuedCall queued = caller.queued;
			if (queued.placement().isCancelled()) {
				this.waiting.remove(caller);
				refuse(caller, nowMillis);
			}
			else if (queued.placement().isDone()) {
				this.waiting.remove(caller);
				caller.placement = queued.placement().join();
				this.engines.stream()
					.filter((engine) -> engine.id.equals(caller.placement.upstream().id()))
					.forEach((engine) -> engine.queue.add(caller));
			}
			else if (nowMillis >= caller.waitUntilMillis) {
				this.waiting.remove(caller);
				this.gateways.get(caller.source.gateway()).dequeue(queued);
				caller.wholeWaits++;
				refuse(caller, nowMillis);
			}
		}
	}

	/**
	 * Returns the share of callers that were answered.
	 */
	static double served(List<Caller> callers, Predicate<Caller> filter) {
		return callers.stream().filter(filter).filter(Caller::served).count()
				/ (double) Math.max(1, callers.stream().filter(filter).count());
	}

	/**
	 * Returns the share of callers whose first event came in time.
	 */
	static double onTime(List<Caller> callers, Predicate<Caller> filter) {
		return callers.stream().filter(filter).filter(Caller::onTime).count()
				/ (double) Math.max(1, callers.stream().filter(filter).count());
	}

	static Stream<String> workspaces(int count) {
		return IntStream.range(0, count).mapToObj((number) -> "workspace-" + number);
	}

	/**
	 * Callers of one kind.
	 */
	record Source(int gateway, String workspace, int priority, double perSecond, long targetMillis, CallCost cost,
			double slotFactor, long fromMillis, long untilMillis) {

		Source(String workspace, int priority, double perSecond) {
			this(0, workspace, priority, perSecond, (priority < 2) ? 400 : 800, CallCost.UNKNOWN, 1, 0, Long.MAX_VALUE);
		}

		Source at(int number) {
			return new Source(number, this.workspace, this.priority, this.perSecond, this.targetMillis, this.cost,
					this.slotFactor, this.fromMillis, this.untilMillis);
		}

		Source between(long from, long until) {
			return new Source(this.gateway, this.workspace, this.priority, this.perSecond, this.targetMillis, this.cost,
					this.slotFactor, from, until);
		}

		Source sized(int promptTokens, int outputTokens, double factor) {
			return new Source(this.gateway, this.workspace, this.priority, this.perSecond, this.targetMillis,
					new CallCost(promptTokens, outputTokens), factor, this.fromMillis, this.untilMillis);
		}

		Source target(long millis) {
			return new Source(this.gateway, this.workspace, this.priority, this.perSecond, millis, this.cost,
					this.slotFactor, this.fromMillis, this.untilMillis);
		}

	}

	/**
	 * One caller and what it got.
	 */
	static final class Caller {

		final Source source;

		final long cameMillis;

		final int number;

		final List<Long> refusedAfterMillis = new ArrayList<>();

		final List<Long> refusedMillis = new ArrayList<>();

		final List<Long> retryAfterMillis = new ArrayList<>();

		int sends;

		int wholeWaits;

		long startedMillis = -1;

		private long sentMillis;

		private long nextMillis;

		private long waitUntilMillis;

		private long endMillis;

		private CallRequirements requirements;

		private QueuedCall queued;

		private Placement placement;

		Caller(Source source, long cameMillis, int number) {
			this.source = source;
			this.cameMillis = cameMillis;
			this.number = number;
		}

		boolean served() {
			return this.startedMillis >= 0;
		}

		long waited() {
			return this.placement.waitedMillis();
		}

		boolean onTime() {
			return served() && this.startedMillis + FIRST_EVENT_MILLIS - this.cameMillis <= this.source.targetMillis();
		}

	}

	/**
	 * Engine that runs calls in its slots and queues the others by priority.
	 */
	private final class Engine {

		private final String id;

		private final PriorityQueue<Caller> queue = new PriorityQueue<>(
				Comparator.<Caller>comparingInt((caller) -> caller.source.priority())
					.thenComparingInt((caller) -> caller.number));

		private final PriorityQueue<Caller> running = new PriorityQueue<>(
				Comparator.comparingLong((caller) -> caller.endMillis));

		private final Deque<Integer> loads = new ArrayDeque<>();

		Engine(String id) {
			this.id = id;
		}

		private long loadedMillis() {
			return ContentionSimulation.this.firstLoadedMillis
					+ ContentionSimulation.this.engines.indexOf(this) * ContentionSimulation.this.loadIntervalMillis;
		}

		Upstream entry() {
			Upstream engine = RoutingFixtures.engine(this.id);
			return new Upstream(this.id, engine.service(), engine.address(), engine.dataCentre(), engine.region(),
					ContentionSimulation.SLOTS, false, 0, 1, engine.weights());
		}

		UpstreamReport report(int gatewayCount, long nowMillis) {
			this.loads.addLast(this.queue.size() + this.running.size());
			int load = (this.loads.size() > REPORT_LAG_MILLIS / REPORT_MILLIS) ? this.loads.removeFirst()
					: this.loads.getFirst();
			return new UpstreamReport(this.id, load, 0, false, gatewayCount, true, 0,
					(nowMillis >= loadedMillis()) ? new LoadedWeights("model", 1, 0, 16) : null);
		}

		void run(long nowMillis) {
			while (!this.running.isEmpty() && this.running.peek().endMillis <= nowMillis) {
				Caller caller = this.running.poll();
				ContentionSimulation.this.gateways.get(caller.source.gateway())
					.recordEnd(caller.placement, Outcome.ANSWERED, nowMillis);
				updateWaiting(nowMillis);
			}
			while (!this.queue.isEmpty() && this.running.size() < ContentionSimulation.SLOTS) {
				Caller caller = this.queue.poll();
				caller.startedMillis = nowMillis;
				caller.endMillis = nowMillis + Math.round(caller.source.slotFactor() * SLOT_MILLIS
						* (0.5 + ContentionSimulation.this.random.nextDouble()));
				this.running.add(caller);
			}
		}

	}

}
