import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** The platform's entry: asks each gateway each second whether it is ready, and forwards new connections. */
final class Entry implements AutoCloseable {

	private final Fleet fleet;

	private final int gateways;

	private final int[] misses;

	private final boolean[] removed;

	private final AtomicBoolean closed = new AtomicBoolean();

	private final List<Thread> threads;

	Entry(Fleet fleet, int gateways) {
		this.fleet = fleet;
		this.gateways = gateways;
		this.misses = new int[gateways];
		this.removed = new boolean[gateways];
		this.threads = java.util.stream.IntStream.range(0, gateways)
			.mapToObj((gateway) -> Thread.ofPlatform().daemon().start(() -> ask(gateway)))
			.toList();
	}

	private void ask(int gateway) {
		while (!this.closed.get()) {
			long startNanos = System.nanoTime();
			boolean ready = this.fleet.ready(gateway);
			synchronized (this) {
				this.misses[gateway] = ready ? 0 : this.misses[gateway] + 1;
			}
			Engine.sleep(Math.max(0, 1_000 - (System.nanoTime() - startNanos) / 1_000_000));
		}
	}

	/** Removes a machine for good: it is none of the daemons of its zone any more. */
	synchronized void remove(int gateway) {
		this.removed[gateway] = true;
	}

	synchronized boolean inRotation(int gateway) {
		return this.misses[gateway] < 2;
	}

	/** Returns the address of the gateway that gets the new connection of a client. */
	synchronized String hostFor(int client) {
		List<Integer> all = java.util.stream.IntStream.range(0, this.gateways)
			.filter((gateway) -> !this.removed[gateway])
			.boxed()
			.toList();
		List<Integer> rotation = all.stream().filter(this::inRotation).toList();
		if (2 * rotation.size() < all.size()) {
			rotation = all;
		}
		return this.fleet.host(10 + rotation.get(client % rotation.size()));
	}

	@Override
	public void close() {
		this.closed.set(true);
	}

}
