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
 * Object store in memory whose next writes of the configuration can meet a fault.
 */
class FakeObjectStore implements ObjectStore {

	private final Map<String, StoredObject> objects = new HashMap<>();

	private final Deque<Fault> faults = new ArrayDeque<>();

	private long version;

	boolean down;

	/**
	 * Runs code before and after the next write of the current configuration, which then
	 * gets no answer.
	 */
	void loseReply(boolean takesEffect, Runnable afterwards) {
		this.faults.add(new Fault(takesEffect, afterwards));
	}

	@Override
	public CompletableFuture<StoredObject> get(String kind, String name) {
		return answer(() -> {
			StoredObject object = this.objects.get(kind + "/" + name);
			if (object == null) {
				throw new PlatformException(Kind.NOT_FOUND, "no object " + kind + "/" + name);
			}
			return object;
		});
	}

	@Override
	public CompletableFuture<Long> create(String kind, String name, byte[] value) {
		return answer(() -> write(kind, name, value, 0));
	}

	@Override
	public CompletableFuture<Long> update(String kind, String name, byte[] value, long expectedVersion) {
		return answer(() -> write(kind, name, value, expectedVersion));
	}

	private long write(String kind, String name, byte[] value, long expectedVersion) {
		Fault fault = kind.equals(ConfigurationRepository.KIND) ? this.faults.poll() : null;
		if (fault == null || fault.takesEffect()) {
			StoredObject before = this.objects.get(kind + "/" + name);
			if (((before != null) ? before.version() : 0) != expectedVersion) {
				throw new PlatformException(Kind.CONFLICT, "condition does not hold");
			}
			this.objects.put(kind + "/" + name, new StoredObject(name, ++this.version, value, false));
		}
		if (fault != null) {
			fault.afterwards().run();
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

	private <T> CompletableFuture<T> answer(Supplier<T> answer) {
		if (this.down) {
			return CompletableFuture.failedFuture(new PlatformException(Kind.NO_ANSWER, "no answer"));
		}
		try {
			return CompletableFuture.completedFuture(answer.get());
		}
		catch (PlatformException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private record Fault(boolean takesEffect, Runnable afterwards) {
	}

}
