package org.jaywood.weights;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.standin.SyntheticWeights;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against unverified content and content of dropped manifests in the agent staging
 * area, and against growth beyond its bound.
 */
class StagingAreaTests {

	private final SyntheticWeights first = SyntheticWeights.generate("model", "1", 4_000, 1_000);

	private final SyntheticWeights second = SyntheticWeights.generate("model", "2", 4_000, 1_000);

	private final StagingArea staging = new StagingArea(6_000);

	private String putChunks(SyntheticWeights weights, int chunks) {
		String digest = weights.manifest().digest();
		this.staging.putManifest(digest, weights.manifest().toBytes());
		for (int i = 0; i < chunks; i++) {
			this.staging.putChunk(weights.manifest().chunks().get(i), weights.chunks().get(i));
		}
		return digest;
	}

	@Nested
	class Put {

		@Test
		void rejectsContentWithAnotherDigest() {
			String digest = StagingAreaTests.this.first.manifest().chunks().getFirst();
			assertThat(StagingAreaTests.this.staging.putChunk(digest, new byte[1_000])).isFalse();
			assertThat(StagingAreaTests.this.staging.containsChunk(digest)).isFalse();
		}

		@Test
		void throwsWhenTheBoundIsReached() {
			putChunks(StagingAreaTests.this.first, 4);
			String failure = "";
			try {
				putChunks(StagingAreaTests.this.second, 4);
			}
			catch (WeightException ex) {
				failure = String.valueOf(ex.getMessage());
			}
			assertThat(failure).contains("full");
			assertThat(StagingAreaTests.this.staging.usedBytes()).isAtMost(6_000);
		}

	}

	@Nested
	class Retain {

		@Test
		void dropsContentOfOtherManifests() {
			String retained = putChunks(StagingAreaTests.this.first, 4);
			putChunks(StagingAreaTests.this.second, 2);
			StagingAreaTests.this.staging.retain(List.of(retained));
			assertThat(StagingAreaTests.this.staging.usedBytes()).isEqualTo(4_000);
			assertThat(StagingAreaTests.this.staging.hasAllChunks(List.of(retained))).isTrue();
		}

	}

}
