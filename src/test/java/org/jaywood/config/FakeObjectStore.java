package org.jaywood.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.store.ObjectPage;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;

/**
 * Object store in memory that can lose the responses to writes of the configuration.
 */
class FakeObjectStore implements ObjectStore {

	private final Map<String, StoredObject> objects = new HashMap<>();

	private final Deque<LostResponse> lostResponses = new ArrayDeque<>();

	private long version;

	boolean down;

	/**
	 * Loses the response to the next write of the current configuration.
	 * @param takesEffect whether the write takes effect
	 * @param afterwards code to run after the write and before its failure
	 */
	void loseNextResponse(boolean takesEffect, Runnable afterwards) {
		this.lostResponses.add(new LostResponse(takesEffect, afterwards));
	}

	@Override
	public CompletableFuture<StoredObject> get(String kind, String name) {
		return complete(() -> {
			StoredObject object = this.objects.get(kind + "/" + name);
			if (object == null) {
				throw new PlatformException(Kind.NOT_FOUND, "no object " + kind + "/" + name);
			}
			return object;
		});
	}

	@Override
	public CompletableFuture<Long> create(String kind, String name, byte[] value) {
		return complete(() -> write(kind, name, value, 0));
	}

	@Override
	public CompletableFuture<Long> update(String kind, String name, byte[] value, long expectedVersion) {
		return complete(() -> write(kind, name, value, expectedVersion));
	}

	private long write(String kind, String name, byte[] value, long expectedVersion) {
		LostResponse lostResponse = kind.equals(ConfigurationRepository.KIND) ? this.lostResponses.poll() : null;
		if (lostResponse == null || lostResponse.takesEffect()) {
			StoredObject previous = this.objects.get(kind + "/" + name);
			if (((previous != null) ? previous.version() : 0) != expectedVersion) {
				throw new PlatformException(Kind.CONFLICT, "condition does not hold");
			}
			this.objects.put(kind + "/" + name, new StoredObject(name, ++this.version, value, false));
		}
		if (lostResponse != null) {
			lostResponse.afterwards().run();
			throw new PlatformException(Kind.NO_ANSWER, "no answer");
		}
		return this.version;
	}

	@Nullable StoredObject object(String kind, String name) {
		return this.objects.get(kind + "/" + name);
	}

	void restore(StoredObject earlier) {
		this.objects.put(ConfigurationRepository.KIND + "/" + earlier.name(),
				new StoredObject(earlier.name(), ++this.version, earlier.value(), false));
	}

	@Override
	public CompletableFuture<Void> delete(String kind, String name, long expectedVersion) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<ObjectPage> watch(String kind, long afterVersion, long waitMillis) {
		throw new UnsupportedOperationException();
	}

	private <T> CompletableFuture<T> complete(Supplier<T> operation) {
		if (this.down) {
			return CompletableFuture.failedFuture(new PlatformException(Kind.NO_ANSWER, "no answer"));
		}
		try {
			return CompletableFuture.completedFuture(operation.get());
		}
		catch (PlatformException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private record LostResponse(boolean takesEffect, Runnable afterwards) {
	}

}
