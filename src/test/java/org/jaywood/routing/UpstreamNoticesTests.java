package org.jaywood.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against placements on an engine that has said that it leaves or wants a pause,
 * over random sequences of notices, pauses, lists and calls.
 */
class UpstreamNoticesTests {

	private static final int ENGINES = 4;

	private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

	private final Map<String, Long> bornMillis = new HashMap<>();

	/** Incarnations that have said that they leave. */
	private final List<String> leaving = new ArrayList<>();

	private final Map<String, Long> pausedUntilMillis = new HashMap<>();

	private long nowMillis = 1_000_000;

	private Upstream engine(int number) {
		Upstream plain = RoutingFixtures.engine("e" + number);
		return new Upstream(plain.id(), plain.service(), plain.address(), plain.dataCentre(), plain.region(),
				plain.slots(), false, 0, this.bornMillis.getOrDefault(plain.id(), 1L), plain.weights());
	}

	private static String incarnation(Upstream upstream) {
		return CrashEvidence.incarnation(upstream);
	}

	@Property(tries = 300, seed = "1")
	void noCallIsPlacedAgainstANoticeOrAPause(@ForAll @IntRange(min = 10, max = 400) int steps, @ForAll long seed) {
		Random random = new Random(seed);
		this.dispatcher.onRouteTable(RoutingFixtures.table(), this.nowMillis);
		list(random, 1);
		List<Placement> running = new ArrayList<>();
		for (int step = 0; step < steps; step++) {
			this.nowMillis += random.nextInt(300);
			switch (random.nextInt(8)) {
				case 0 -> list(random, 0.8);
				case 1 -> notice(random);
				case 2 -> pause(random);
				case 3 -> this.dispatcher.onTick(this.nowMillis);
				case 4 -> {
					if (!running.isEmpty()) {
						this.dispatcher.recordEnd(running.removeFirst(), Outcome.ANSWERED, this.nowMillis);
					}
				}
				default -> place(random).ifPresent(running::add);
			}
		}
	}

	private void list(Random random, double presentShare) {
		Upstream[] entries = IntStream.range(0, ENGINES)
			.filter((number) -> random.nextDouble() < presentShare)
			.mapToObj((number) -> {
				if (random.nextInt(12) == 0) {
					this.bornMillis.merge("e" + number, 2L, Long::sum);
				}
				return engine(number);
			})
			.toArray(Upstream[]::new);
		this.dispatcher.onFleet(RoutingFixtures.fleet(entries), this.nowMillis);
	}

	private void notice(Random random) {
		Upstream engine = engine(random.nextInt(ENGINES));
		this.dispatcher.onLeaving(engine, this.nowMillis);
		this.leaving.add(incarnation(engine));
	}

	private void pause(Random random) {
		Upstream engine = engine(random.nextInt(ENGINES));
		long pauseMillis = random.nextInt(4_000);
		this.dispatcher.onPause(engine, pauseMillis, this.nowMillis);
		this.pausedUntilMillis.put(incarnation(engine), this.nowMillis + pauseMillis);
	}

	private Optional<Placement> place(Random random) {
		CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
		Optional<Placement> placement;
		if (random.nextBoolean()) {
			placement = this.dispatcher.placeImmediately(requirements, this.nowMillis);
		}
		else {
			QueuedCall queuedCall = this.dispatcher.enqueue(requirements, this.nowMillis);
			placement = RoutingFixtures.placementOf(queuedCall);
			this.dispatcher.dequeue(queuedCall);
		}
		placement.ifPresent((chosen) -> {
			String incarnation = incarnation(chosen.upstream());
			assertThat(this.leaving).doesNotContain(incarnation);
			assertWithMessage("pause of " + incarnation).that(this.nowMillis)
				.isAtLeast(this.pausedUntilMillis.getOrDefault(incarnation, Long.MIN_VALUE));
		});
		return placement;
	}

}
