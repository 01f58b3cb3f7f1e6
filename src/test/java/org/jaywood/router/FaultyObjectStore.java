package org.jaywood.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jaywood.store.ObjectPage;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;

/**
 * In-memory object store that at random refuses calls, loses responses after a write took
 * effect and applies writes late.
 */
final class FaultyObjectStore implements ObjectStore {

	private final Random random;

	private final int faultPercent;

	private final Map<String, StoredObject> objects = new HashMap<>();

	private final List<Runnable> delayedWrites = new ArrayList<>();

	private long version;

	private boolean down;

	FaultyObjectStore(Random random, int faultPercent) {
		this.random = random;
		this.faultPercent = faultPercent;
	}

	@Override
	public synchronized CompletableFuture<StoredObject> get(String kind, String name) {
		return runWithFaults(false, () -> {
			StoredObject found = this.objects.get(kind + "/" + name);
			if (found == null) {
				throw new PlatformException(Kind.NOT_FOUND, "none");
			}
			return found;
		});
	}

	@Override
	public synchronized CompletableFuture<Long> create(String kind, String name, byte[] value) {
		return runWithFaults(true, () -> put(kind + "/" + name, value, 0));
	}

	@Override
	public synchronized CompletableFuture<Long> update(String kind, String name, byte[] value, long expectedVersion) {
		return runWithFaults(true, () -> put(kind + "/" + name, value, expectedVersion));
	}

	@Override
	public synchronized CompletableFuture<Void> delete(String kind, String name, long expectedVersion) {
		return runWithFaults(true, () -> {
			checkVersion(kind + "/" + name, expectedVersion);
			this.objects.remove(kind + "/" + name);
			return null;
		});
	}

	@Override
	public synchronized CompletableFuture<ObjectPage> watch(String kind, long afterVersion, long waitMillis) {
		return runWithFaults(false,
				() -> new ObjectPage(this.version,
						this.objects.entrySet()
							.stream()
							.filter((entry) -> entry.getKey().startsWith(kind + "/"))
							.map(Map.Entry::getValue)
							.toList()));
	}

	/**
	 * Returns the number of objects of all kinds.
	 */
	synchronized int size() {
		return this.objects.size();
	}

	/**
	 * Applies the writes that were delayed in the network.
	 */
	synchronized void applyDelayedWrites() {
		List.copyOf(this.delayedWrites).forEach(Runnable::run);
		this.delayedWrites.clear();
	}

	/**
	 * Makes all further calls fail without a response.
	 */
	synchronized void down() {
		this.down = true;
	}

	private long put(String path, byte[] value, long expectedVersion) {
		checkVersion(path, expectedVersion);
		this.objects.put(path, new StoredObject(path.substring(path.indexOf('/') + 1), ++this.version, value, false));
		return this.version;
	}

	private void checkVersion(String path, long expectedVersion) {
		StoredObject present = this.objects.get(path);
		if (((present != null) ? present.version() : 0) != expectedVersion) {
			throw new PlatformException(Kind.CONFLICT, "version");
		}
	}

	private <T> CompletableFuture<T> runWithFaults(boolean write, Supplier<T> operation) {
		if (this.down) {
			return noResponse();
		}
		if (this.random.nextInt(400) < this.faultPercent) {
			if (this.random.nextBoolean()) {
				run(operation);
			}
			throw new RouterCrash();
		}
		if (this.random.nextInt(100) >= this.faultPercent) {
			return run(operation);
		}
		return switch (this.random.nextInt(write ? 3 : 1)) {
			case 0 -> CompletableFuture.failedFuture(new PlatformException(Kind.REFUSED, "refused"));
			case 1 -> {
				run(operation);
				yield noResponse();
			}
			default -> {
				this.delayedWrites.add(() -> run(operation));
				yield noResponse();
			}
		};
	}

	private static <T> CompletableFuture<T> noResponse() {
		return CompletableFuture.failedFuture(new PlatformException(Kind.NO_ANSWER, "lost"));
	}

	private static <T> CompletableFuture<T> run(Supplier<T> operation) {
		try {
			return CompletableFuture.completedFuture(operation.get());
		}
		catch (PlatformException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	/**
	 * Thrown to simulate a crash of the router at this step.
	 */
	static final class RouterCrash extends Error {

		RouterCrash() {
			super("crash", null, false, false);
		}

	}

}
