package org.jaywood.weights;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.jaywood.standin.SyntheticWeights;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.weights.WantedChunks.ChunkFetch;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a chunk fetched twice at once, against the store being used where a peer
 * holds the chunk, and against repeating a source that failed.
 */
class WantedChunksTests {

	private final VmRecord self = vm("self", "a", 1);

	private final VmRecord near = vm("near", "a", 2);

	private final VmRecord far = vm("far", "b", 3);

	private final Manifest manifest = SyntheticWeights.generate("model", "1", 1_000, 1_000).manifest();

	private final String chunk = this.manifest.chunks().getFirst();

	private final WantedChunks wanted = new WantedChunks(this.self, WeightMode.TREE, System.nanoTime());

	@Test
	void waitsForAnOffer() throws InterruptedException {
		add();
		assertThat(this.wanted.take(1)).isEqualTo(Optional.empty());
		this.wanted.offer(this.chunk, this.far);
		assertThat(take().source()).isEqualTo(this.far);
		assertThat(this.wanted.take(1)).isEqualTo(Optional.empty());
	}

	@Test
	void prefersTheNearestHolderOverTheStore() throws InterruptedException {
		add();
		this.wanted.allowStore(this.chunk, true);
		this.wanted.offer(this.chunk, this.far);
		this.wanted.offer(this.chunk, this.near);
		assertThat(take().source()).isEqualTo(this.near);
	}

	@Test
	void doesNotRepeatAFailedHolder() throws InterruptedException {
		add();
		this.wanted.offer(this.chunk, this.near);
		this.wanted.failed(take());
		assertThat(this.wanted.take(1)).isEqualTo(Optional.empty());
		assertThat(this.wanted.withoutHolder()).containsKey(this.chunk);
	}

	@Test
	void dropsWhatIsNoLongerWanted() throws InterruptedException {
		add();
		this.wanted.offer(this.chunk, this.near);
		ChunkFetch running = take();
		this.wanted.clear();
		this.wanted.retry(running, System.nanoTime());
		assertThat(this.wanted.take(1)).isEqualTo(Optional.empty());
	}

	/**
	 * Guards against download slots that sleep although a refused chunk may be asked for
	 * again.
	 */
	@Test
	void handsOutARefusedChunkAtItsRetryTime() throws InterruptedException {
		add();
		this.wanted.offer(this.chunk, this.near);
		long startNanos = System.nanoTime();
		this.wanted.retry(take(), startNanos + 20_000_000);
		assertThat(this.wanted.take(30_000).isPresent()).isTrue();
		assertThat(System.nanoTime() - startNanos).isLessThan(10_000_000_000L);
	}

	@Test
	void obeysTheRetryTimeOfTheStore() throws InterruptedException {
		add();
		this.wanted.allowStore(this.chunk, true);
		this.wanted.retry(take(), System.nanoTime() + 60_000_000_000L);
		assertThat(this.wanted.take(1)).isEqualTo(Optional.empty());
	}

	private void add() {
		this.wanted.add(this.manifest.digest(), this.manifest, 0, System.nanoTime());
	}

	private ChunkFetch take() throws InterruptedException {
		return this.wanted.take(1_000).orElseThrow();
	}

	private static VmRecord vm(String name, String region, int port) {
		return new VmRecord(name, "agent", "pool", region, region + "-a", new Address("127.0.0.1", port), VmState.LIVE);
	}

}
