package org.jaywood.replica;

import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.ModelVersion;

import static com.google.common.truth.Truth.assertThat;

class LoadOrderTests {

	private static final ModelVersion VERSION = new ModelVersion("model", 2);

	private static final int LAYERS = 10;

	private static final int CHUNKS = 96;

	private static LoadOrder next(@Nullable LoadedWeights held, int maxLayers) {
		return LoadOrder.next(VERSION, held, LAYERS, maxLayers);
	}

	private static LoadedWeights held(long version, int toLayer) {
		return new LoadedWeights("model", version, 0, toLayer);
	}

	@Nested
	class NextLayers {

		@Test
		void areAllWithoutAnOrderInParts() {
			assertThat(next(null, Integer.MAX_VALUE).takesWholeModel()).isTrue();
			assertThat(next(held(1, LAYERS), Integer.MAX_VALUE).takesWholeModel()).isTrue();
		}

		@Test
		void followThoseOfTheSameVersion() {
			assertThat(next(held(2, 4), 3)).isEqualTo(new LoadOrder(VERSION, 4, 7, LAYERS));
			assertThat(next(held(2, 4), 100)).isEqualTo(new LoadOrder(VERSION, 4, LAYERS, LAYERS));
		}

		@Test
		void beginAnewAfterLayersOfAnotherVersion() {
			assertThat(next(held(1, 4), 3)).isEqualTo(new LoadOrder(VERSION, 0, 3, LAYERS));
		}

		@Test
		void areAllChunksOfAModelWithoutKnownLayers() {
			LoadOrder order = LoadOrder.next(VERSION, null, 0, Integer.MAX_VALUE);
			assertThat(order.takesWholeModel()).isTrue();
			assertThat(order.endChunk(CHUNKS)).isEqualTo(CHUNKS);
		}

	}

	/**
	 * Guards against an order whose layers need a chunk that was not compared.
	 */
	@Nested
	class Chunks {

		@Test
		void coverEachLayerOfTheOrder() {
			for (int heldLayers = 0; heldLayers < LAYERS; heldLayers++) {
				LoadOrder order = next(held(2, heldLayers), 3);
				int firstNeeded = order.heldLayers() * CHUNKS / LAYERS;
				int endNeeded = IntStream.range(order.heldLayers(), order.toLayer())
					.map((layer) -> (int) Math.ceil((layer + 1) * (double) CHUNKS / LAYERS))
					.max()
					.orElseThrow();
				assertThat(order.firstChunk(CHUNKS)).isAtMost(firstNeeded);
				assertThat(order.endChunk(CHUNKS)).isAtLeast(endNeeded);
			}
		}

	}

}
