package org.jaywood.routing;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a VM from which nothing comes that is taken for a running one, and a
 * running one that is taken for silent.
 */
class SilentVmTests {

	private static final long NOW = 100_000;

	private static final long TICK_MILLIS = 40;

	private static final long SILENCE_MILLIS = 700;

	private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

	private final List<Placement> streams;

	/**
	 * Two streams at the only engine, whose last events and report come at NOW.
	 */
	SilentVmTests() {
		this.dispatcher.onRouteTable(RoutingFixtures.table(), NOW - 1_000);
		this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW - 1_000);
		report("a", 0, NOW - 1_000);
		this.streams = IntStream.range(0, 2).mapToObj((number) -> place(NOW - 500)).toList();
		this.streams.forEach((stream) -> progress(stream, NOW));
		report("a", 2, NOW);
		tick(NOW - 1_000, NOW);
	}

	private Placement place(long nowMillis) {
		Placement placement = RoutingFixtures
			.placementOf(this.dispatcher.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false),
					nowMillis))
			.orElseThrow();
		placement.activity().onSent(nowMillis);
		return placement;
	}

	private static void progress(Placement stream, long nowMillis) {
		stream.activity().onProgress(nowMillis);
		stream.activity().onForwarded(nowMillis);
	}

	private void report(String id, int running, long nowMillis) {
		this.dispatcher.onReport(id,
				new UpstreamReport(id, running, 0, false, 1, true, 0, new LoadedWeights("model", 1, 0, 16)), nowMillis);
	}

	private void tick(long fromMillis, long untilMillis) {
		LongStream.iterate(fromMillis, (millis) -> millis <= untilMillis, (millis) -> millis + TICK_MILLIS)
			.forEach(this.dispatcher::onTick);
	}

	private boolean vmSilent(long nowMillis) {
		return this.dispatcher.isVmSilent(this.streams.getFirst(), nowMillis);
	}

	@Test
	void vmWithoutReportsAndProgressIsSilent() {
		tick(NOW, NOW + SILENCE_MILLIS);
		assertThat(vmSilent(NOW + SILENCE_MILLIS)).isTrue();
	}

	@Test
	void vmThatReportsIsNotSilentThoughItsStreamsAre() {
		tick(NOW, NOW + SILENCE_MILLIS);
		report("a", 2, NOW + SILENCE_MILLIS);
		assertThat(vmSilent(NOW + SILENCE_MILLIS)).isFalse();
	}

	@Test
	void vmWithOneStreamThatGoesOnIsNotSilentThoughItsAgentIs() {
		tick(NOW, NOW + SILENCE_MILLIS);
		progress(this.streams.getLast(), NOW + SILENCE_MILLIS);
		this.dispatcher.onAgentLost("a", AgentLoss.SILENT);
		assertThat(vmSilent(NOW + SILENCE_MILLIS)).isFalse();
	}

	@Test
	void vmWhoseAgentEndedIsNotSilent() {
		tick(NOW, NOW + SILENCE_MILLIS);
		this.dispatcher.onAgentLost("a", AgentLoss.CLOSED);
		assertThat(vmSilent(NOW + SILENCE_MILLIS)).isFalse();
	}

	@Test
	void aStallOfTheGatewayIsNotTakenForASilentVm() {
		long resumedMillis = NOW + 5_000;
		assertThat(vmSilent(resumedMillis)).isFalse();
		tick(resumedMillis, resumedMillis + SILENCE_MILLIS / 2);
		assertThat(vmSilent(resumedMillis + SILENCE_MILLIS / 2)).isFalse();
	}

	@Test
	void callOfASilentVmIsPlacedAheadOfQueuedCalls() {
		this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a"), RoutingFixtures.engine("b")), NOW);
		report("b", RoutingFixtures.SLOTS + 4, NOW + SILENCE_MILLIS);
		tick(NOW, NOW + SILENCE_MILLIS);
		QueuedCall queued = this.dispatcher.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false),
				NOW + SILENCE_MILLIS);
		QueuedCall moved = this.dispatcher.enqueue(
				new CallRequirements("moved", RoutingFixtures.ENGINE_SERVICE, Set.of(), "", 1,
						CallRequirements.QueueClass.MOVED, true, CallCost.UNKNOWN, OptionalLong.empty(), Set.of("a")),
				NOW + SILENCE_MILLIS);
		report("b", RoutingFixtures.SLOTS, NOW + SILENCE_MILLIS + 1);
		assertThat(RoutingFixtures.placementOf(moved)).isPresent();
		assertThat(RoutingFixtures.placementOf(queued)).isEmpty();
	}

}
