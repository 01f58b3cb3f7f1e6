package org.jaywood.config;

import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.store.PlatformException;
import org.jaywood.store.StoredObject;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an apply that reports a wrong outcome to its author, and against a
 * generation number that is used twice.
 */
class ConfigurationRepositoryTests {

	private final FakeObjectStore store = new FakeObjectStore();

	private final ConfigurationRepository repository = new ConfigurationRepository(this.store);

	private static Deployment deployment(String dataCentre) {
		return new Deployment(Map.of(dataCentre, new DataCentre("doto", true)), Map.of(), Map.of());
	}

	private AppliedConfiguration apply(String dataCentre, String author) {
		return this.repository.apply(deployment(dataCentre), author, 1);
	}

	private ApplyOptions expecting(long generation) {
		return new ApplyOptions("b", 1, OptionalLong.of(generation), 0);
	}

	@Nested
	class Apply {

		@Test
		void incrementsGenerationAndKeepsHistory() {
			apply("x", "a");
			AppliedConfiguration second = apply("y", "b");
			assertThat(second.generation()).isEqualTo(2);
			assertThat(ConfigurationRepositoryTests.this.repository.current()).hasValue(second);
			assertThat(ConfigurationRepositoryTests.this.repository.history()
				.list(2, 10)
				.stream()
				.map(AppliedConfiguration::author)
				.toList()).containsExactly("b", "a").inOrder();
		}

		@Test
		void failsWhenExpectedGenerationIsNotInForce() {
			apply("x", "a");
			ApplyConflictException failure = Failures.thrown(ApplyConflictException.class,
					() -> ConfigurationRepositoryTests.this.repository.apply(deployment("y"), expecting(0)));
			assertThat(failure.generation()).isEqualTo(1);
			assertThat(failure.author()).isEqualTo("a");
			assertThat(ConfigurationRepositoryTests.this.repository.apply(deployment("y"), expecting(1)).generation())
				.isEqualTo(2);
		}

		@Test
		void usesGenerationAboveHighestSeenByPeers() {
			AppliedConfiguration applied = ConfigurationRepositoryTests.this.repository.apply(deployment("x"),
					new ApplyOptions("a", 1, OptionalLong.empty(), 7));
			assertThat(applied.generation()).isEqualTo(8);
		}

		@Test
		void usesNewGenerationAfterPlatformRestoredOlderOne() {
			apply("x", "a");
			StoredObject earlier = ConfigurationRepositoryTests.this.store.object("configuration", "current");
			assertThat(earlier).isNotNull();
			apply("y", "a");
			apply("z", "a");
			ConfigurationRepositoryTests.this.store.restore(earlier);
			assertThat(apply("w", "a").generation()).isAtLeast(4);
		}

	}

	@Nested
	class LostResponse {

		private final FakeObjectStore store = ConfigurationRepositoryTests.this.store;

		private final ConfigurationRepository other = new ConfigurationRepository(this.store);

		@Test
		void succeedsOnceWhenWriteTookEffect() {
			this.store.loseNextResponse(true, () -> {
			});
			AppliedConfiguration applied = apply("x", "a");
			assertThat(ConfigurationRepositoryTests.this.repository.current()).hasValue(applied);
			assertThat(applied.generation()).isEqualTo(1);
		}

		@Test
		void retriesWhenWriteDidNotTakeEffect() {
			this.store.loseNextResponse(false, () -> {
			});
			AppliedConfiguration applied = apply("x", "a");
			assertThat(ConfigurationRepositoryTests.this.repository.current()).hasValue(applied);
		}

		@Test
		void succeedsWhenAnotherApplyFollowedMeanwhile() {
			this.store.loseNextResponse(true, () -> this.other.apply(deployment("y"), "b", 2));
			AppliedConfiguration applied = apply("x", "a");
			assertThat(applied.generation()).isEqualTo(1);
			assertThat(ConfigurationRepositoryTests.this.repository.current().orElseThrow().author()).isEqualTo("b");
		}

		@Test
		void reportsConflictWhenAnotherApplyCameFirst() {
			this.store.loseNextResponse(false, () -> this.other.apply(deployment("y"), "b", 2));
			ApplyConflictException failure = Failures.thrown(ApplyConflictException.class, () -> apply("x", "a"));
			assertThat(failure).hasMessageThat()
				.isEqualTo("another apply came first: generation 1 by b is in force; this apply changed nothing");
		}

		@Test
		void reportsUnknownOutcomeWhenPlatformStopsResponding() {
			this.store.loseNextResponse(true, () -> this.store.down = true);
			Failures.thrown(ApplyUnknownException.class, () -> apply("x", "a"));
		}

	}

	@Nested
	class Rollback {

		@Test
		void createsNewGenerationWithEarlierDeployment() {
			AppliedConfiguration first = apply("x", "a");
			apply("y", "a");
			AppliedConfiguration third = ConfigurationRepositoryTests.this.repository.rollback(1,
					ApplyOptions.ofAuthor("c", 3));
			assertThat(third.generation()).isEqualTo(3);
			assertThat(third.digest()).isEqualTo(first.digest());
		}

		@Test
		void failsForUnknownGeneration() {
			apply("x", "a");
			Failures.thrown(ConfigurationException.class,
					() -> ConfigurationRepositoryTests.this.repository.rollback(9, ApplyOptions.ofAuthor("c", 3)));
		}

	}

	@Nested
	class Outage {

		@Test
		void failsBeforeAnythingIsWritten() {
			ConfigurationRepositoryTests.this.store.down = true;
			Failures.thrown(PlatformException.class, () -> apply("x", "a"));
		}

	}

}
