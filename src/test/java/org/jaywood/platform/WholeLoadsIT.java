package org.jaywood.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.bench.ProcessFleet;
import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against engines that load chunks which turned bad in the staging area more than
 * 3 s before. A real replica stages the weights of the users' pages at a fake engine.
 */
class WholeLoadsIT {

	private static final int CHUNKS = 96;

	private static final int CHUNK_BYTES = 24_576;

	/** Bound of the rule WHOLE. */
	private static final long MAX_BAD_MILLIS = 3_000;

	/** Reads and writes that stage a version at an engine which holds another one. */
	private static final int STAGING_ACCESSES = 2 * CHUNKS;

	private static final String REPLICA = PlatformProcesses.replica(0);

	private final Random random = new Random(42);

	private PlatformProcesses processes;

	private ProcessFleet fleet;

	private FakePlatformEngine engine;

	private FakeStagingArea staging;

	@BeforeEach
	void start() throws Exception {
		this.processes = new PlatformProcesses(1, 1, CHUNKS, CHUNK_BYTES, new EventLog("test")).start();
		this.fleet = this.processes.fleet();
		this.engine = this.processes.engine(0);
		this.staging = this.engine.staging();
		this.staging.stageAll(1);
	}

	@AfterEach
	void stop() {
		this.processes.close();
	}

	private void spoilSome() {
		List<Integer> indexes = new ArrayList<>(IntStream.range(0, CHUNKS).boxed().toList());
		Collections.shuffle(indexes, this.random);
		this.staging.spoil(indexes.subList(0, CHUNKS / 16));
	}

	private void awaitAccesses(int count) {
		Awaitility.await()
			.pollInterval(Duration.ofMillis(1))
			.atMost(Duration.ofSeconds(30))
			.until(() -> this.staging.accesses() >= count);
	}

	/**
	 * Waits until the engine has loaded a version and checks all its loads.
	 */
	private void assertLoadedWhole(long version) throws IOException {
		try {
			Awaitility.await()
				.atMost(Duration.ofSeconds(40))
				.until(() -> !this.engine.loads().isEmpty() && this.engine.holds(version));
			assertThat(this.engine.loads()
				.stream()
				.flatMap((load) -> load.badForLongerThan(MAX_BAD_MILLIS).stream())
				.toList()).isEmpty();
		}
		finally {
			System.out.println("loads: " + this.engine.loads());
			this.processes.logLines(List.of("PIECES_STAGED", "ORDER_", "LOAD_")).forEach(System.out::println);
		}
	}

	private void suspendReplica(long millis) throws Exception {
		this.fleet.pause(REPLICA);
		spoilSome();
		Thread.sleep(millis);
		this.fleet.resume(REPLICA);
	}

	@Nested
	class Suspension {

		@Test
		void chunksThatTurnBadWhileTheReplicaIsSuspendedAreNotLoaded() throws Exception {
			WholeLoadsIT.this.staging.setAccessMillis(2, false);
			WholeLoadsIT.this.processes.setTargetVersion(2);
			awaitAccesses(STAGING_ACCESSES / 2);
			suspendReplica(3_950);
			assertLoadedWhole(2);
		}

		@Test
		void chunksThatTurnBadBetweenTwoShortSuspensionsAreNotLoaded() throws Exception {
			WholeLoadsIT.this.staging.setAccessMillis(2, false);
			WholeLoadsIT.this.processes.setTargetVersion(2);
			awaitAccesses(STAGING_ACCESSES / 2);
			suspendReplica(1_800);
			awaitAccesses(WholeLoadsIT.this.staging.accesses() + CHUNKS / 4);
			suspendReplica(1_800);
			assertLoadedWhole(2);
		}

	}

	@Nested
	class SlowEngine {

		@Test
		void chunksThatTurnBadDuringSlowReadsAreNotLoaded() throws Exception {
			WholeLoadsIT.this.staging.setAccessMillis(40, false);
			WholeLoadsIT.this.processes.setTargetVersion(2);
			awaitAccesses(STAGING_ACCESSES / 4);
			spoilSome();
			assertLoadedWhole(2);
		}

		@Test
		void engineThatReadsOneChunkAtATimeIsLoadedWhole() throws Exception {
			WholeLoadsIT.this.staging.setAccessMillis(40, true);
			WholeLoadsIT.this.processes.setTargetVersion(2);
			awaitAccesses(STAGING_ACCESSES / 4);
			spoilSome();
			assertLoadedWhole(2);
		}

		@Test
		void engineThatTakesLongForEachResponseIsLoadedWhole() throws Exception {
			WholeLoadsIT.this.staging.setAccessMillis(400, false);
			WholeLoadsIT.this.engine.setReportDelayMillis(400);
			WholeLoadsIT.this.processes.setTargetVersion(2);
			awaitAccesses(STAGING_ACCESSES / 4);
			spoilSome();
			assertLoadedWhole(2);
		}

		@Test
		void chunksThatTurnBadWhileTheOrderWaitsAreNotLoaded() throws Exception {
			WholeLoadsIT.this.engine.setOrderDelayMillis(4_000);
			WholeLoadsIT.this.processes.setTargetVersion(2);
			awaitAccesses(STAGING_ACCESSES);
			Thread.sleep(50);
			spoilSome();
			assertLoadedWhole(2);
		}

	}

	@Nested
	class RestartedProcesses {

		@Test
		void engineThatComesBackWithBadChunksOfBeforeLoadsThemWhole() throws Exception {
			spoilSome();
			Thread.sleep(3_500);
			WholeLoadsIT.this.processes.setTargetVersion(1);
			WholeLoadsIT.this.engine.restartWithoutWeights();
			WholeLoadsIT.this.processes.publishEngine(0);
			assertLoadedWhole(1);
		}

		@Test
		void replicaThatRestartsWhileItStagesLoadsNoBadChunks() throws Exception {
			WholeLoadsIT.this.staging.setAccessMillis(2, false);
			WholeLoadsIT.this.processes.setTargetVersion(2);
			awaitAccesses(STAGING_ACCESSES / 2);
			WholeLoadsIT.this.fleet.kill(REPLICA);
			spoilSome();
			Thread.sleep(3_500);
			WholeLoadsIT.this.processes.startReplica(0);
			assertLoadedWhole(2);
		}

	}

}
