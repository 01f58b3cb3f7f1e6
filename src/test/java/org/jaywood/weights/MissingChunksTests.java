package org.jaywood.weights;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.jaywood.standin.SyntheticWeights;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.weights.MissingChunks.ChunkFetch;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against concurrent fetches of the same chunk, against fetches from the weight
 * store when a peer holds the chunk, and against repeated fetches from a source that
 * failed.
 */
class MissingChunksTests {

	private final VmRecord self = vm("self", "a", 1);

	private final VmRecord near = vm("near", "a", 2);

	private final VmRecord far = vm("far", "b", 3);

	private final Manifest manifest = SyntheticWeights.generate("model", "1", 1_000, 1_000).manifest();

	private final String chunk = this.manifest.chunks().getFirst();

	private final MissingChunks missingChunks = new MissingChunks(this.self, WeightMode.TREE, System.nanoTime());

	@Test
	void returnsNoFetchBeforeAnOffer() throws InterruptedException {
		add();
		assertThat(this.missingChunks.poll(1)).isEqualTo(Optional.empty());
		this.missingChunks.addHolder(this.chunk, this.far);
		assertThat(take().source()).isEqualTo(this.far);
		assertThat(this.missingChunks.poll(1)).isEqualTo(Optional.empty());
	}

	@Test
	void prefersTheNearestHolderOverTheWeightStore() throws InterruptedException {
		add();
		this.missingChunks.setStoreAllowed(this.chunk, true);
		this.missingChunks.addHolder(this.chunk, this.far);
		this.missingChunks.addHolder(this.chunk, this.near);
		assertThat(take().source()).isEqualTo(this.near);
	}

	@Test
	void doesNotReturnAFailedHolderAgain() throws InterruptedException {
		add();
		this.missingChunks.addHolder(this.chunk, this.near);
		this.missingChunks.removeFailedSource(take());
		assertThat(this.missingChunks.poll(1)).isEqualTo(Optional.empty());
		assertThat(this.missingChunks.withoutHolder()).containsKey(this.chunk);
	}

	@Test
	void ignoresRetryOfAClearedChunk() throws InterruptedException {
		add();
		this.missingChunks.addHolder(this.chunk, this.near);
		ChunkFetch fetch = take();
		this.missingChunks.clear();
		this.missingChunks.retryAt(fetch, System.nanoTime());
		assertThat(this.missingChunks.poll(1)).isEqualTo(Optional.empty());
	}

	/**
	 * Guards against fetch threads that sleep although a refused chunk may be requested
	 * again.
	 */
	@Test
	void returnsARefusedChunkAtItsRetryTime() throws InterruptedException {
		add();
		this.missingChunks.addHolder(this.chunk, this.near);
		long startNanos = System.nanoTime();
		this.missingChunks.retryAt(take(), startNanos + 20_000_000);
		assertThat(this.missingChunks.poll(30_000).isPresent()).isTrue();
		assertThat(System.nanoTime() - startNanos).isLessThan(10_000_000_000L);
	}

	@Test
	void waitsForTheRetryTimeOfTheWeightStore() throws InterruptedException {
		add();
		this.missingChunks.setStoreAllowed(this.chunk, true);
		this.missingChunks.retryAt(take(), System.nanoTime() + 60_000_000_000L);
		assertThat(this.missingChunks.poll(1)).isEqualTo(Optional.empty());
	}

	private void add() {
		this.missingChunks.add(this.manifest.digest(), this.manifest, 0, System.nanoTime());
	}

	private ChunkFetch take() throws InterruptedException {
		return this.missingChunks.poll(1_000).orElseThrow();
	}

	private static VmRecord vm(String name, String region, int port) {
		return new VmRecord(name, "agent", "pool", region, region + "-a", new Address("127.0.0.1", port), VmState.LIVE);
	}

}
