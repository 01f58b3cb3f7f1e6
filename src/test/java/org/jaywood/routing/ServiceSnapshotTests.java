package org.jaywood.routing;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies that a snapshot contains one engine for each address. After a restart, the
 * entries of the old and of the new incarnation are listed for a while; an agent must not
 * wait for the old one.
 */
class ServiceSnapshotTests {

	private static final ServiceProfile.Engines PROFILE = new ServiceProfile.Engines(RoutingFixtures.ENGINE_SERVICE, 36,
			"model", 16, 300);

	private static Upstream engineBornAt(String id, long bornMillis) {
		// The id determines the address, so all these engines have the same address.
		Upstream engine = RoutingFixtures.engine("same");
		return new Upstream(id, engine.service(), engine.address(), engine.dataCentre(), engine.region(),
				engine.slots(), false, 0, bornMillis, engine.weights());
	}

	@Test
	void onlyLatestStartedEngineOfAddressIsIncluded() {
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
	 * Verifies that the content hash does not change between releases, since processes of
	 * different releases compare it. The hash is computed from toString() of the records,
	 * so renaming a record or a component changes it.
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
