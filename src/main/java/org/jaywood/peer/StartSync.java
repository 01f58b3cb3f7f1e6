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
 * Brings a starting process to the highest generation of platform and peers before it
 * serves. Neither is enough alone: the platform may be down or may have come back with an
 * older configuration.
 */
final class StartSync {

	private static final long LONGEST_MILLIS = 6_000;

	private static final long PLATFORM_WAIT_MILLIS = 2_000;

	private static final long ROUND_PAUSE_MILLIS = 100;

	private static final int PEERS_ASKED = 3;

	/** Rounds after which listed peers are taken for dead when the platform answered. */
	private static final int ROUNDS_WITH_PLATFORM = 2;

	private final PlatformWatch platform;

	private final PeerProbe peers;

	private final LongSupplier generation;

	private final AtomicReference<@Nullable Address> heard = new AtomicReference<>();

	private volatile boolean done;

	StartSync(PlatformWatch platform, PeerProbe peers, LongSupplier generation) {
		this.platform = platform;
		this.peers = peers;
		this.generation = generation;
	}

	/**
	 * Notes a peer that sent a probe: the way to learn of peers while the platform is
	 * down.
	 */
	void heard(Address peer) {
		if (!this.done) {
			this.heard.set(peer);
		}
	}

	/**
	 * Whether the highest generation of platform and peers was taken.
	 */
	boolean done() {
		return this.done || this.generation.getAsLong() > 0;
	}

	/**
	 * Runs until the generation is known or the longest time has passed.
	 */
	void run(long startMillis) {
		boolean platformAnswered = readPlatform();
		int round = 0;
		while (!this.done && System.currentTimeMillis() - startMillis < LONGEST_MILLIS
				&& !Thread.currentThread().isInterrupted()) {
			Address caller = this.heard.getAndSet(null);
			if (caller != null) {
				this.peers.adoptVms(caller);
				this.peers.fetch(caller);
			}
			List<Address> asked = this.peers.peers(PEERS_ASKED);
			long answered = askAll(asked);
			round++;
			this.done = platformAnswered && (answered > 0 || asked.isEmpty() || round >= ROUNDS_WITH_PLATFORM)
					|| !platformAnswered && answered > 0 && this.generation.getAsLong() > 0;
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
			}).get(PLATFORM_WAIT_MILLIS, TimeUnit.MILLISECONDS);
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

	private long askAll(List<Address> asked) {
		return asked.stream().map((peer) -> Futures.run(() -> {
			boolean answered = this.peers.probe(peer);
			if (answered) {
				this.peers.fetch(peer);
			}
			return answered;
		})).toList().stream().map(CompletableFuture::join).filter((answered) -> answered).count();
	}

}
