package org.jaywood.gateway;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.Upstream;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against sending the whole list of upstreams for each of its entries while a
 * fleet starts, and against a target version that is delayed by the interval of the list.
 */
class SnapshotPublisherTests {

	private static final long NOW_MILLIS = 100_000;

	private final SnapshotPublisher publisher = new SnapshotPublisher();

	private static ServiceSnapshot snapshot(int engines, long version) {
		List<Upstream> entries = IntStream.range(0, engines)
			.mapToObj((number) -> RoutingFixtures.engine("e" + number, "kushiro-a", "doto", 1))
			.toList();
		return ServiceSnapshot.of(1, new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36, "model", 16, 300),
				null, version, entries);
	}

	private boolean replaceIfDue(int engines, long version, long nowMillis) {
		return this.publisher.replaceIfDue(RoutingFixtures.ENGINE_SERVICE, snapshot(engines, version), engines,
				nowMillis);
	}

	@Test
	void changesOfTheListArePublishedOnceInAnInterval() {
		long replaced = IntStream.range(0, 100)
			.filter((number) -> replaceIfDue(number, 1, NOW_MILLIS + 10 * number))
			.count();
		assertThat(replaced).isEqualTo(1 + 990 / SnapshotPublisher.MIN_LIST_INTERVAL_MILLIS);
	}

	@Test
	void aChangeAfterTheIntervalIsPublishedAtOnce() {
		replaceIfDue(1, 1, NOW_MILLIS);
		assertThat(replaceIfDue(2, 1, NOW_MILLIS + SnapshotPublisher.MIN_LIST_INTERVAL_MILLIS)).isTrue();
	}

	@Test
	void aNewTargetVersionIsPublishedAtOnce() {
		replaceIfDue(1, 1, NOW_MILLIS);
		assertThat(replaceIfDue(1, 2, NOW_MILLIS + 1)).isTrue();
	}

	@Test
	void anUnknownServiceHasNoSnapshot() {
		replaceIfDue(1, 1, NOW_MILLIS);
		this.publisher.replaceIfDue(RoutingFixtures.ENGINE_SERVICE, null, 2, NOW_MILLIS + 1);
		assertThat(this.publisher.get(RoutingFixtures.ENGINE_SERVICE)).isNull();
	}

}
