package org.jaywood.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongToDoubleFunction;
import java.util.function.LongUnaryOperator;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * Simulates calls of several gateways against engines that read prompts one after the
 * other and send events at their speed, in steps of a millisecond.
 */
final class EngineSimulation {

	static final int SLOTS = 12;

	/** Tokens that an engine of speed 1 reads in a millisecond. */
	private static final double READ_TOKENS_PER_MILLI = 31.9;

	/** Time between two events of 7 tokens at an engine of speed 1. */
	private static final double GAP_MILLIS = 52;

	private static final long REPORT_INTERVAL_MILLIS = 100;

	/** Reports show the figures that were true this number of reports before. */
	private static final int REPORTS_LATE = 2;

	final List<Engine> engines = new ArrayList<>();

	final List<Gateway> gateways = new ArrayList<>();

	final List<Call> calls = new ArrayList<>();

	/** Delay of what crosses from one data centre to another, beyond the latency. */
	LongUnaryOperator queueOnLinks = (nowMillis) -> 0;

	/** Time after which a call leaves the queue of its gateway. */
	long maxWaitMillis = Long.MAX_VALUE;

	private final PriorityQueue<Delayed> delayed = new PriorityQueue<>();

	private final Random random;

	private long nowMillis;

	private long sequence;

	EngineSimulation(long seed) {
		this.random = new Random(seed);
	}

	Engine engine(String dataCentre, LongToDoubleFunction speed) {
		int number = this.engines.size();
		Upstream upstream = new Upstream("engine-" + number, RoutingFixtures.ENGINE_SERVICE,
				new Address("10.0." + (number / 200) + "." + (number % 200 + 1), 80), dataCentre,
				"region-" + dataCentre, SLOTS, false, 0, 1, new LoadedWeights("model", 1, 0, 16));
		Engine engine = new Engine(upstream, speed);
		this.engines.add(engine);
		return engine;
	}

	Gateway gateway(String dataCentre, EngineRanking ranking) {
		return gateway(dataCentre, ranking, DataCentreChoice.ANY);
	}

	Gateway gateway(String dataCentre, EngineRanking ranking, DataCentreChoice dataCentreChoice) {
		String name = "gateway-" + this.gateways.size();
		Dispatcher dispatcher = new Dispatcher(
				new DispatchSettings(name, "region-" + dataCentre, dataCentre, 1.5, 5, 2_200, 7_000), ranking,
				dataCentreChoice);
		Gateway gateway = new Gateway(dispatcher, dataCentre);
		this.gateways.add(gateway);
		return gateway;
	}

	/**
	 * Returns the calls a second that engines of speed 1 can run in a slot.
	 */
	static double callsPerSlotSecond(Kind kind) {
		return 1_000 / (kind.promptTokens() / READ_TOKENS_PER_MILLI + kind.events() * GAP_MILLIS);
	}

	/**
	 * Simulates until all calls that arrive before a time have ended.
	 */
	void run(long arrivalsUntilMillis, Arrivals arrivals) {
		start();
		for (; this.nowMillis < arrivalsUntilMillis
				|| this.calls.stream().anyMatch((call) -> !call.ended); this.nowMillis++) {
			for (Gateway gateway : this.gateways) {
				if (this.nowMillis < arrivalsUntilMillis) {
					arrivals.at(gateway, this.nowMillis);
				}
			}
			while (!this.delayed.isEmpty() && this.delayed.peek().atMillis() <= this.nowMillis) {
				this.delayed.poll().action().run();
			}
			this.engines.forEach((engine) -> engine.step(this.nowMillis));
			this.gateways.forEach(Gateway::collect);
			if (this.nowMillis % REPORT_INTERVAL_MILLIS == 0) {
				report();
			}
		}
	}

	private void start() {
		Upstream[] upstreams = this.engines.stream().map((engine) -> engine.upstream).toArray(Upstream[]::new);
		this.gateways.forEach((gateway) -> {
			gateway.dispatcher.onRouteTable(RoutingFixtures.table(), 0);
			gateway.dispatcher.onFleet(RoutingFixtures.fleet(upstreams), 0);
		});
	}

	private void report() {
		for (Engine engine : this.engines) {
			int held = engine.reported();
			UpstreamReport report = new UpstreamReport(engine.upstream.id(), Math.min(held, SLOTS),
					Math.max(0, held - SLOTS), false, this.gateways.size(), true, 0,
					new LoadedWeights("model", 1, 0, 16));
			long sentMillis = this.nowMillis;
			this.gateways.forEach((gateway) -> later(latency(engine, gateway), () -> {
				gateway.dispatcher.onReportDelay(engine.upstream.id(), sentMillis, this.nowMillis);
				gateway.dispatcher.onReport(engine.upstream.id(), report, this.nowMillis);
			}));
		}
	}

	/**
	 * Lets calls of a kind arrive at a gateway at a mean rate, with lengths that vary by
	 * a factor of e about their median.
	 */
	void arrive(Gateway gateway, Kind kind, double perSecond) {
		for (double left = perSecond / 1_000; left > this.random.nextDouble(); left -= 1) {
			double spread = 1;
			int prompt = (int) Math.ceil(kind.promptTokens() * Math.exp(spread * this.random.nextGaussian() - 0.5));
			int events = (int) Math.ceil(kind.events() * Math.exp(spread * this.random.nextGaussian() - 0.5));
			Call call = new Call(gateway, kind, prompt, events, this.nowMillis);
			CallRequirements requirements = new CallRequirements("call-" + this.sequence++,
					RoutingFixtures.ENGINE_SERVICE, Set.of(), "", kind.priority(), CallRequirements.QueueClass.ON_TIME,
					true, new CallCost(prompt, 1_024), OptionalLong.empty(), Set.of());
			this.calls.add(call);
			gateway.waiting.add(call);
			call.queued = gateway.dispatcher.enqueue(requirements, this.nowMillis);
		}
	}

	private void later(long millis, Runnable action) {
		this.delayed.add(new Delayed(this.nowMillis + millis, this.sequence++, action));
	}

	private long latency(Engine engine, Gateway gateway) {
		return engine.upstream.dataCentre().equals(gateway.dataCentre) ? 0
				: 2 + this.queueOnLinks.applyAsLong(this.nowMillis);
	}

	private Engine find(String id) {
		return this.engines.stream().filter((engine) -> engine.upstream.id().equals(id)).findFirst().orElseThrow();
	}

	/**
	 * Returns a percentile of the time to the first event of calls that arrived in a
	 * time.
	 */
	static long firstEventPercentile(List<EngineSimulation> simulations, double share, long fromMillis,
			long untilMillis) {
		long[] sorted = simulations.stream()
			.flatMap((simulation) -> simulation.calls.stream())
			.filter((call) -> call.arrivedMillis >= fromMillis && call.arrivedMillis < untilMillis)
			.mapToLong((call) -> call.firstMillis - call.arrivedMillis)
			.sorted()
			.toArray();
		return sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
	}

	/** Returns the share of the calls of a time that an engine got. */
	double share(Engine engine, long fromMillis, long untilMillis) {
		List<Call> placed = this.calls.stream()
			.filter((call) -> call.arrivedMillis >= fromMillis && call.arrivedMillis < untilMillis)
			.toList();
		return placed.stream().filter((call) -> call.engine == engine).count() / (double) placed.size();
	}

	/** Returns the calls of a time that began within a time after their arrival. */
	long countOnTime(long targetMillis, long fromMillis, long untilMillis) {
		return arrivedBetween(fromMillis, untilMillis)
			.filter((call) -> call.firstMillis - call.arrivedMillis <= targetMillis)
			.count();
	}

	/** Returns the calls of a time that were sent to another data centre. */
	List<Call> sentAway(long fromMillis, long untilMillis) {
		return arrivedBetween(fromMillis, untilMillis).filter(Call::sentAway).toList();
	}

	Stream<Call> arrivedBetween(long fromMillis, long untilMillis) {
		return this.calls.stream()
			.filter((call) -> call.arrivedMillis >= fromMillis && call.arrivedMillis < untilMillis);
	}

	/** Returns the most calls that any engine held at once. */
	int mostHeld() {
		return this.engines.stream().mapToInt((engine) -> engine.mostHeld).max().orElse(0);
	}

	interface Arrivals {

		void at(Gateway gateway, long nowMillis);

	}

	record Kind(int priority, double promptTokens, double events) {
	}

	private record Delayed(long atMillis, long sequence, Runnable action) implements Comparable<Delayed> {

		@Override
		public int compareTo(Delayed other) {
			int byTime = Long.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

	/**
	 * Call and what its caller got.
	 */
	static final class Call {

		final Gateway gateway;

		final Kind kind;

		final long arrivedMillis;

		@Nullable Engine engine;

		long firstMillis = Long.MAX_VALUE;

		boolean ended;

		final int promptTokens;

		private final int events;

		private QueuedCall queued;

		private Placement placement;

		private double tokensRead;

		private double eventsDone;

		boolean sentAway() {
			return this.engine != null && !this.engine.upstream.dataCentre().equals(this.gateway.dataCentre);
		}

		private Call(Gateway gateway, Kind kind, int promptTokens, int events, long arrivedMillis) {
			this.gateway = gateway;
			this.kind = kind;
			this.promptTokens = promptTokens;
			this.events = events;
			this.arrivedMillis = arrivedMillis;
		}

	}

	/**
	 * Gateway and its queued calls.
	 */
	final class Gateway {

		final Dispatcher dispatcher;

		final String dataCentre;

		private final List<Call> waiting = new ArrayList<>();

		private Gateway(Dispatcher dispatcher, String dataCentre) {
			this.dispatcher = dispatcher;
			this.dataCentre = dataCentre;
		}

		private void collect() {
			for (Iterator<Call> iterator = this.waiting.iterator(); iterator.hasNext();) {
				Call call = iterator.next();
				Placement placement = call.queued.placement().getNow(null);
				if (placement == null && EngineSimulation.this.nowMillis
						- call.arrivedMillis >= EngineSimulation.this.maxWaitMillis) {
					iterator.remove();
					this.dispatcher.dequeue(call.queued);
					call.ended = true;
				}
				else if (placement != null) {
					iterator.remove();
					call.placement = placement;
					call.engine = find(placement.upstream().id());
					placement.activity().onSent(EngineSimulation.this.nowMillis);
					this.dispatcher.onConnected(placement.upstream(), 2 * latency(call.engine, this),
							EngineSimulation.this.nowMillis);
					later(latency(call.engine, this), () -> call.engine.receive(call, EngineSimulation.this.nowMillis));
				}
			}
		}

		private void onEvent(Call call, boolean last) {
			long nowMillis = EngineSimulation.this.nowMillis;
			call.firstMillis = Math.min(call.firstMillis, nowMillis);
			call.placement.activity().onProgress(nowMillis);
			call.placement.activity().onForwarded(nowMillis);
			if (last) {
				call.ended = true;
				this.dispatcher.recordEnd(call.placement, Outcome.ANSWERED, nowMillis);
			}
		}

	}

	/**
	 * Engine whose speed may change.
	 */
	final class Engine {

		final Upstream upstream;

		int mostHeld;

		private final LongToDoubleFunction speed;

		private final List<Call> held = new ArrayList<>();

		private final Deque<Integer> heldAtReports = new ArrayDeque<>();

		private Engine(Upstream upstream, LongToDoubleFunction speed) {
			this.upstream = upstream;
			this.speed = speed;
		}

		private void receive(Call call, long nowMillis) {
			this.held.add(call);
			this.mostHeld = Math.max(this.mostHeld, this.held.size());
		}

		private void step(long nowMillis) {
			double now = this.speed.applyAsDouble(nowMillis);
			double readable = now * READ_TOKENS_PER_MILLI;
			for (Call call : this.held.stream().limit(SLOTS).toList()) {
				if (call.tokensRead < call.promptTokens) {
					double read = Math.min(readable, call.promptTokens - call.tokensRead);
					call.tokensRead += read;
					readable -= read;
					if (call.tokensRead >= call.promptTokens) {
						emit(call);
					}
					continue;
				}
				double before = call.eventsDone;
				call.eventsDone += now / GAP_MILLIS;
				if (Math.floor(call.eventsDone) > Math.floor(before)) {
					emit(call);
				}
			}
			this.held.removeIf((call) -> call.tokensRead >= call.promptTokens && call.eventsDone >= call.events - 1);
		}

		private void emit(Call call) {
			boolean last = call.eventsDone >= call.events - 1;
			later(latency(this, call.gateway) + 1, () -> call.gateway.onEvent(call, last));
		}

		/** Returns the figure of the last report but one, and records the present one. */
		private int reported() {
			this.heldAtReports.addLast(this.held.size());
			return (this.heldAtReports.size() > REPORTS_LATE) ? this.heldAtReports.removeFirst() : 0;
		}

	}

}
