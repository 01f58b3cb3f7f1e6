package org.jaywood.routing;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against agents that wait for an engine incarnation which no longer runs, because
 * its entry is still in the list together with that of its next start.
 */
class ServiceSnapshotTests {

	private static final ServiceProfile.Engines PROFILE = new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36,
			"model", 16, 300);

	private static Upstream engineBornAt(String id, long bornMillis) {
		Upstream engine = RoutingFixtures.engine("same");
		return new Upstream(id, engine.service(), engine.address(), engine.dataCentre(), engine.region(),
				engine.slots(), false, 0, bornMillis, engine.weights());
	}

	@Test
	void onlyYoungestEntryOfAddressIsIncluded() {
		ServiceSnapshot snapshot = ServiceSnapshot.of(1, PROFILE, null, 1,
				List.of(engineBornAt("old", 5), engineBornAt("new", 9)));
		assertThat(snapshot.engines().stream().map(Upstream::id).toList()).containsExactly("new");
	}

	@Test
	void coldTimeDoesNotChangeContentHash() {
		Upstream engine = RoutingFixtures.engine("a");
		Upstream cold = new Upstream(engine.id(), engine.service(), engine.address(), engine.dataCentre(),
				engine.region(), engine.slots(), false, 2_500, engine.bornMillis(), engine.weights());
		assertThat(ServiceSnapshot.of(1, PROFILE, null, 1, List.of(cold)).contentHash())
			.isEqualTo(ServiceSnapshot.of(2, PROFILE, null, 1, List.of(engine)).contentHash());
	}

	/**
	 * Guards against a hash that differs from that of other releases. Processes of
	 * different releases compare it, and it is computed from the text of the records, so
	 * that a new name of a record or of a component changes it.
	 */
	@Nested
	class ContentHash {

		@Test
		void hashOfFixedSnapshotEqualsThatOfEarlierReleases() {
			ServiceProfile.Engines profile = new ServiceProfile.Engines("pool", 36, "model", 16, 300);
			ServiceProfile.Origin origin = new ServiceProfile.Origin("origin", new Address("10.0.2.1", 80), "doto");
			Upstream engine = new Upstream("engine-1", "pool", new Address("10.0.0.1", 80), "kushiro-a", "doto", 4,
					false, 2_500, 1, new LoadedWeights("model", 1, 0, 16));
			ServiceSnapshot snapshot = ServiceSnapshot.of(1, profile, origin, 2, List.of(engine));
			assertThat(snapshot.contentHash()).isEqualTo(3_504_591_772_695_911_420L);
		}

	}

}
