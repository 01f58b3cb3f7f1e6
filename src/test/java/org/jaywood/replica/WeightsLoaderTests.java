package org.jaywood.replica;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against engines that load chunks which turned bad in the staging area more than
 * 3 s before they accept the order. The clock is set by the tests.
 */
class WeightsLoaderTests {

	private static final int MAX_LOADS = 10;

	private final AtomicLong clockMillis = new AtomicLong(1_000_000);

	private final AgeingEngine engine = new AgeingEngine(this.clockMillis);

	private final WeightsLoader loader = new WeightsLoader(this.engine, this.clockMillis::get, new EventLog("test"));

	private static WeightsDownload download(long version) {
		ChunkManifest manifest = new ChunkManifest("model", version, 0,
				IntStream.range(0, AgeingEngine.CHUNKS)
					.mapToObj((index) -> FakeEngine.digest(version, index))
					.toList());
		WeightsDownload download = new WeightsDownload(manifest);
		IntStream.range(0, AgeingEngine.CHUNKS)
			.forEach((index) -> download.addIfValid(index, FakeEngine.chunk(version, index)));
		return download;
	}

	private boolean load(long version) throws Exception {
		return this.loader.load(download(version), AgeingEngine.LAYERS);
	}

	/**
	 * Tries to load as the reconciler does, until an order is accepted.
	 */
	private void loadUntilAccepted(long version) throws Exception {
		for (int i = 0; i < MAX_LOADS && this.engine.loads().isEmpty(); i++) {
			try {
				load(version);
			}
			catch (EngineUnavailableException ex) {
				// Tried again, as by the reconciler.
			}
		}
		assertThat(this.engine.loads()).hasSize(1);
		assertWithMessage("%s", this.engine.loads()).that(this.engine.loads().getFirst().allowed()).isTrue();
	}

	private void suspend(long millis) {
		this.clockMillis.addAndGet(millis);
	}

	@Nested
	class Suspension {

		@Test
		void whileChunksAreComparedHasThemComparedAgain() throws Exception {
			AtomicBoolean suspended = new AtomicBoolean();
			WeightsLoaderTests.this.engine.beforeRead((index) -> {
				if (index == 2 && !suspended.getAndSet(true)) {
					WeightsLoaderTests.this.engine.spoil(0);
					suspend(3_950);
				}
			});
			loadUntilAccepted(2);
		}

		@Test
		void twiceInARowCountsAsOneLongOne() throws Exception {
			AtomicInteger suspensions = new AtomicInteger();
			WeightsLoaderTests.this.engine.beforeRead((index) -> {
				if (index >= 2 && suspensions.incrementAndGet() <= 2) {
					WeightsLoaderTests.this.engine.spoil(0);
					suspend(1_600);
				}
			});
			loadUntilAccepted(2);
		}

		@Test
		void betweenComparisonsAndOrderHasThemComparedAgain() throws Exception {
			AtomicInteger reports = new AtomicInteger();
			WeightsLoaderTests.this.engine.beforeReport(() -> {
				if (reports.incrementAndGet() == 2) {
					WeightsLoaderTests.this.engine.spoil(1);
					suspend(3_100);
				}
			});
			loadUntilAccepted(2);
		}

	}

	@Nested
	class SlowEngine {

		@Test
		void chunkThatTurnsBadDuringOneSlowReadIsComparedAgain() throws Exception {
			AtomicInteger reads = new AtomicInteger();
			WeightsLoaderTests.this.engine.beforeRead((index) -> {
				if (index == 3 && reads.incrementAndGet() == 1) {
					IntStream.range(0, 3).forEach(WeightsLoaderTests.this.engine::spoil);
					suspend(3_500);
				}
			});
			loadUntilAccepted(2);
		}

	}

	@Nested
	class RestartedEngine {

		@Test
		void thatLostItsStagedChunksAfterTheComparisonsIsStagedAgain() throws Exception {
			AtomicInteger reports = new AtomicInteger();
			WeightsLoaderTests.this.engine.beforeReport(() -> {
				if (reports.incrementAndGet() == 2) {
					WeightsLoaderTests.this.engine.restartWithoutStagedChunks();
				}
			});
			loadUntilAccepted(2);
		}

	}

	@Nested
	class UnansweredOrder {

		@Test
		void thatIsSentAgainFollowsNewComparisons() throws Exception {
			AtomicBoolean lost = new AtomicBoolean();
			WeightsLoaderTests.this.engine.onOrder((acceptance) -> {
				if (!lost.getAndSet(true)) {
					WeightsLoaderTests.this.engine.spoil(1);
					suspend(3_100);
					throw new EngineUnavailableException("no response", null);
				}
				return acceptance.run();
			});
			loadUntilAccepted(2);
		}

		@Test
		void thatIsLostAndThenRefusedDoesNotKeepOutTheNextVersion() throws Exception {
			AtomicInteger orders = new AtomicInteger();
			WeightsLoaderTests.this.engine.onOrder((acceptance) -> {
				if (orders.incrementAndGet() == 1) {
					throw new EngineUnavailableException("no response", null);
				}
				return orders.get() > 4 && acceptance.run();
			});
			Failures.thrownBy(EngineUnavailableException.class, () -> load(2));
			for (int i = 0; i < MAX_LOADS; i++) {
				load(3);
				suspend(5_000);
			}
			assertThat(WeightsLoaderTests.this.engine.loads().getFirst().version()).isEqualTo(3);
		}

		@Test
		void thatIsAcceptedLateFindsTheChunksOfItsVersion() throws Exception {
			AtomicReference<AgeingEngine.Acceptance> late = new AtomicReference<>();
			WeightsLoaderTests.this.engine.onOrder((acceptance) -> {
				if (late.get() == null) {
					late.set(acceptance);
					throw new EngineUnavailableException("no response", null);
				}
				return acceptance.run();
			});
			Failures.thrownBy(EngineUnavailableException.class, () -> load(2));
			AtomicInteger reads = new AtomicInteger();
			WeightsLoaderTests.this.engine.beforeRead((index) -> {
				if (reads.incrementAndGet() == AgeingEngine.CHUNKS) {
					late.get().run();
				}
			});
			for (int i = 0; i < MAX_LOADS && WeightsLoaderTests.this.engine.loads().size() < 2; i++) {
				load(3);
			}
			assertThat(WeightsLoaderTests.this.engine.loads().stream().map(AgeingEngine.Load::version).toList())
				.containsExactly(2L, 3L)
				.inOrder();
			assertThat(WeightsLoaderTests.this.engine.loads().stream().allMatch(AgeingEngine.Load::allowed)).isTrue();
		}

	}

}
