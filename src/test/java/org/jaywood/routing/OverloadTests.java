package org.jaywood.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Plays a load on the dispatcher in its own time and looks at what callers get.
 */
class OverloadTests {

	private static final long WAIT_MILLIS = 230;

	private static final long LENGTH_MILLIS = 30_000;

	/** Time of a call at the engine, which holds a few of them. */
	private static final long CALL_MILLIS = 125;

	private static final double CAPACITY_PER_SECOND = 1_000.0 * (RoutingFixtures.SLOTS + 1) / CALL_MILLIS;

	private static Figures play(double load, boolean forecast, long seed) {
		return new Load(load * CAPACITY_PER_SECOND, forecast, new Random(seed)).run();
	}

	/**
	 * Guards against callers that wait in vain through an overload: they are refused when
	 * they arrive, while as many as before are served.
	 */
	@Nested
	class Lasting {

		@Test
		void mostRefusalsComeAtOnce() {
			Figures figures = play(1.4, true, 1);
			assertThat(figures.refusedAfterMillis.get(figures.refusedAfterMillis.size() / 2)).isEqualTo(0);
		}

		@Test
		void noPlaceIdles() {
			Figures with = play(1.4, true, 2);
			Figures without = play(1.4, false, 2);
			assertThat((double) with.served).isAtLeast(0.98 * without.served);
		}

		@Test
		void thoseServedWaitNoLonger() {
			assertThat(play(1.4, true, 3).meanWaitMillis()).isAtMost(play(1.4, false, 3).meanWaitMillis());
		}

	}

	/**
	 * Guards against refusals while engines have room for all.
	 */
	@Nested
	class Light {

		@Test
		void nobodyIsRefusedBelowCapacity() {
			assertThat(play(0.6, true, 4).refusedAfterMillis).isEmpty();
		}

	}

	/**
	 * Open-loop arrivals at one engine.
	 */
	private static final class Load {

		private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

		private final double perSecond;

		private final boolean forecast;

		private final Random random;

		private final List<Waiting> waiting = new ArrayList<>();

		private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparing(Running::endMillis));

		private final Figures figures = new Figures();

		Load(double perSecond, boolean forecast, Random random) {
			this.perSecond = perSecond;
			this.forecast = forecast;
			this.random = random;
			this.dispatcher.onRouteTable(RoutingFixtures.table(), 0);
			this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), 0);
		}

		Figures run() {
			double nextMillis = 0;
			for (long nowMillis = 0; nowMillis < LENGTH_MILLIS; nowMillis++) {
				report(nowMillis);
				end(nowMillis);
				for (; nextMillis <= nowMillis; nextMillis += -Math.log(1 - this.random.nextDouble()) * 1_000
						/ this.perSecond) {
					arrive(nowMillis);
				}
				sort(nowMillis);
			}
			this.figures.refusedAfterMillis.sort(Comparator.naturalOrder());
			return this.figures;
		}

		private void report(long nowMillis) {
			if (nowMillis % 100 == 0) {
				this.dispatcher.onReport("a", new UpstreamReport("a", this.running.size(), 0, false, 1, true,
						new LoadedWeights("model", 1, 0, 16)), nowMillis);
			}
		}

		private void end(long nowMillis) {
			while (!this.running.isEmpty() && this.running.peek().endMillis() <= nowMillis) {
				this.dispatcher.end(this.running.poll().placement(), Outcome.ANSWERED, nowMillis);
				this.figures.served++;
			}
			sort(nowMillis);
		}

		private void arrive(long nowMillis) {
			CallRequirements demand = RoutingFixtures.demand(RoutingFixtures.POOL, false);
			if (this.forecast && !this.dispatcher.isWaitFeasible(demand, WAIT_MILLIS, nowMillis)) {
				this.figures.refusedAfterMillis.add(0L);
				return;
			}
			this.waiting.add(new Waiting(this.dispatcher.enqueue(demand, nowMillis), nowMillis));
		}

		private void sort(long nowMillis) {
			for (Waiting call : List.copyOf(this.waiting)) {
				Placement placement = call.ticket().placement().getNow(null);
				if (placement != null) {
					this.waiting.remove(call);
					this.figures.waitedMillis += nowMillis - call.sinceMillis();
					this.running.add(new Running(placement, nowMillis + CALL_MILLIS));
				}
				else if (nowMillis - call.sinceMillis() >= WAIT_MILLIS) {
					this.dispatcher.dequeue(call.ticket());
					this.waiting.remove(call);
					this.figures.refusedAfterMillis.add(nowMillis - call.sinceMillis());
				}
			}
		}

		private record Waiting(QueuedCall ticket, long sinceMillis) {
		}

		private record Running(Placement placement, long endMillis) {
		}

	}

	/**
	 * What callers got.
	 */
	private static final class Figures {

		private final List<Long> refusedAfterMillis = new ArrayList<>();

		private int served;

		private long waitedMillis;

		double meanWaitMillis() {
			return (double) this.waitedMillis / Math.max(1, this.served);
		}

	}

}
