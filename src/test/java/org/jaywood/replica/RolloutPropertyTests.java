package org.jaywood.replica;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a fleet that stays on an old version after failures in any order: the
 * origin is down or has dropped versions, chunks are corrupt, engines and agents restart.
 */
class RolloutPropertyTests {

	private static final int CHUNKS = 12;

	private static final int AGENTS = 4;

	private static final long STEP_MILLIS = 100;

	/**
	 * Time in which all engines must hold the newest version: the wait of the second
	 * half, the end of an older version that is completed first, one copy for each agent,
	 * and the load.
	 */
	private static final long BOUND_MILLIS = 6_100 + 2 * 6_500 + CHUNKS * STEP_MILLIS + 2 * VersionChoice.LOAD_MILLIS;

	private static final List<Upstream> ENGINES = IntStream.range(0, AGENTS)
		.mapToObj((number) -> RoutingFixtures.engine("engine" + number, "kushiro-a", "doto", 1))
		.toList();

	private final List<Agent> agents = IntStream.range(0, AGENTS).mapToObj(Agent::new).toList();

	private boolean originDown;

	private boolean nextChunkCorrupt;

	private long newest = 1;

	private long nowMillis = 100_000;

	@Property(seed = "20261206", tries = 200)
	void allEnginesServeNewestVersionOnceNothingFails(@ForAll @Size(max = 40) List<Trouble> troubles) {
		for (Trouble trouble : troubles) {
			apply(trouble);
			run(3 * STEP_MILLIS);
		}
		this.originDown = false;
		run(BOUND_MILLIS);
		for (Agent agent : this.agents) {
			assertWithMessage("%s after %s", agent.engine.id(), troubles).that(agent.served).isEqualTo(this.newest);
		}
	}

	private void apply(Trouble trouble) {
		switch (trouble) {
			case VERSION_ANNOUNCED -> this.newest++;
			case ORIGIN_DOWN -> this.originDown = true;
			case ORIGIN_UP -> this.originDown = false;
			case CHUNK_CORRUPT -> this.nextChunkCorrupt = true;
			case PEER_HAS_IT -> this.agents.getFirst().received(this.newest).set(0, CHUNKS);
			case ENGINE_RESTARTED -> this.agents.get(1).served = null;
			case AGENT_RESTARTED -> this.agents.get(2).restart();
		}
	}

	private void run(long millis) {
		for (long endMillis = this.nowMillis + millis; this.nowMillis < endMillis; this.nowMillis += STEP_MILLIS) {
			this.agents.forEach(Agent::step);
		}
	}

	enum Trouble {

		VERSION_ANNOUNCED, ORIGIN_DOWN, ORIGIN_UP, CHUNK_CORRUPT, PEER_HAS_IT, ENGINE_RESTARTED, AGENT_RESTARTED

	}

	/**
	 * Agent that receives one chunk in each step.
	 */
	private final class Agent {

		private final Upstream engine;

		private final Map<Long, BitSet> chunks = new HashMap<>();

		private Rollout rollout = new Rollout(6_500);

		private @Nullable Long served = 1L;

		private @Nullable Long loading;

		private long loadedMillis;

		Agent(int number) {
			this.engine = ENGINES.get(number);
		}

		private void restart() {
			this.rollout = new Rollout(6_500);
			this.chunks.clear();
		}

		private BitSet received(long version) {
			return this.chunks.computeIfAbsent(version, (key) -> new BitSet());
		}

		private void step() {
			long now = RolloutPropertyTests.this.nowMillis;
			this.rollout.onTargetVersion(version(RolloutPropertyTests.this.newest), now);
			this.rollout.versions().forEach((version) -> recordProgress(version.version(), now));
			this.rollout.versionToFetch(now)
				.filter((version) -> !Long.valueOf(version.version()).equals(this.served))
				.ifPresent((version) -> fetch(version.version(), now));
			load(now);
		}

		private void recordProgress(long version, long now) {
			this.rollout.onProgress(version(version), CHUNKS, CHUNKS - received(version).cardinality(), now);
		}

		private void fetch(long version, long now) {
			int index = received(version).nextClearBit(0);
			boolean peerHasIt = RolloutPropertyTests.this.agents.stream()
				.anyMatch((peer) -> peer.received(version).get(index));
			boolean corrupt = RolloutPropertyTests.this.nextChunkCorrupt;
			if (!peerHasIt && RolloutPropertyTests.this.originDown) {
				return;
			}
			if (!peerHasIt && version <= RolloutPropertyTests.this.newest - 2) {
				this.rollout.onGone(version(version));
				return;
			}
			RolloutPropertyTests.this.nextChunkCorrupt = false;
			received(version).set(index, !corrupt);
			recordProgress(version, now);
		}

		private void load(long now) {
			if (this.loading != null && now >= this.loadedMillis) {
				this.served = this.loading;
				this.loading = null;
			}
			if (this.served != null) {
				this.rollout.onServed(version(this.served));
			}
			Optional<ModelVersion> target = this.rollout.target(now);
			if (target.isPresent() && this.loading == null && !Long.valueOf(target.get().version()).equals(this.served)
					&& received(target.get().version()).cardinality() == CHUNKS
					&& (this.served == null || this.rollout.mayLoad(target.get(), this.engine, ENGINES, now))) {
				assertNoOlderThanWhole(target.get().version());
				this.loading = target.get().version();
				this.loadedMillis = now + VersionChoice.LOAD_MILLIS;
			}
		}

		private void assertNoOlderThanWhole(long target) {
			assertThat(this.chunks.keySet()
				.stream()
				.filter((version) -> received(version).cardinality() == CHUNKS)
				.max(Long::compare)).isEqualTo(Optional.of(target));
		}

		private static ModelVersion version(long number) {
			return new ModelVersion("model", number);
		}

	}

}
