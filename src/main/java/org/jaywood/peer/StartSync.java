package org.jaywood.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.store.Futures;
import org.jaywood.wire.Address;

/**
 * Brings a starting process to the highest generation among platform and peers before it
 * serves. It uses both, because the platform may be down or may have been restored with
 * an older configuration.
 */
final class StartSync {

	private static final long MAX_SYNC_MILLIS = 6_000;

	private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;

	private static final long ROUND_PAUSE_MILLIS = 100;

	private static final int PEERS_PER_ROUND = 3;

	/**
	 * Rounds after which listed peers that do not respond count as dead, if the platform
	 * responded.
	 */
	private static final int MAX_ROUNDS_WITH_PLATFORM = 2;

	private final PlatformWatch platform;

	private final PeerProbe peerProbe;

	private final LongSupplier generation;

	private final AtomicReference<@Nullable Address> lastProber = new AtomicReference<>();

	private volatile boolean done;

	StartSync(PlatformWatch platform, PeerProbe peerProbe, LongSupplier generation) {
		this.platform = platform;
		this.peerProbe = peerProbe;
		this.generation = generation;
	}

	/**
	 * Records a peer that sent a probe. While the platform is down, this is the only way
	 * to find peers.
	 */
	void onPeerProbe(Address peer) {
		if (!this.done) {
			this.lastProber.set(peer);
		}
	}

	/**
	 * Whether the sync is complete or a configuration is known.
	 */
	boolean isDone() {
		return this.done || this.generation.getAsLong() > 0;
	}

	/**
	 * Runs until the sync is complete or {@link #MAX_SYNC_MILLIS} have passed.
	 */
	void run(long startMillis) {
		boolean platformAnswered = readPlatform();
		int round = 0;
		while (!this.done && System.currentTimeMillis() - startMillis < MAX_SYNC_MILLIS
				&& !Thread.currentThread().isInterrupted()) {
			Address prober = this.lastProber.getAndSet(null);
			if (prober != null) {
				this.peerProbe.fetchVmsIfUnknown(prober);
				this.peerProbe.fetchConfiguration(prober);
			}
			List<Address> probed = this.peerProbe.randomPeers(PEERS_PER_ROUND);
			long answeredCount = probeAll(probed);
			round++;
			this.done = platformAnswered && (answeredCount > 0 || probed.isEmpty() || round >= MAX_ROUNDS_WITH_PLATFORM)
					|| !platformAnswered && answeredCount > 0 && this.generation.getAsLong() > 0;
			if (!this.done) {
				Futures.pause(ROUND_PAUSE_MILLIS);
			}
		}
	}

	private boolean readPlatform() {
		try {
			Futures.run(() -> {
				this.platform.readOnce();
				return true;
			}).get(PLATFORM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		catch (ExecutionException | TimeoutException ex) {
			return false;
		}
	}

	private long probeAll(List<Address> probed) {
		return probed.stream().map((peer) -> Futures.run(() -> {
			boolean answered = this.peerProbe.probe(peer);
			if (answered) {
				this.peerProbe.fetchConfiguration(peer);
			}
			return answered;
		})).toList().stream().map(CompletableFuture::join).filter((answered) -> answered).count();
	}

}
