package org.jaywood.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jaywood.store.ObjectPage;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;

/**
 * Object store in memory. It can lose the response to the next write after the write took
 * effect.
 */
final class FakeObjectStore implements ObjectStore {

	private final Map<String, StoredObject> objects = new HashMap<>();

	private long version;

	private boolean loseNextResponse;

	private boolean down;

	void loseNextResponse() {
		this.loseNextResponse = true;
	}

	void down(boolean value) {
		this.down = value;
	}

	@Override
	public CompletableFuture<StoredObject> get(String kind, String name) {
		StoredObject object = this.objects.get(kind + "/" + name);
		if (this.down) {
			return CompletableFuture.failedFuture(new PlatformException(Kind.NO_ANSWER, "down"));
		}
		return (object != null) ? CompletableFuture.completedFuture(object)
				: CompletableFuture.failedFuture(new PlatformException(Kind.NOT_FOUND, "no such object"));
	}

	@Override
	public CompletableFuture<Long> create(String kind, String name, byte[] value) {
		return write(kind, name, value, !this.objects.containsKey(kind + "/" + name));
	}

	@Override
	public CompletableFuture<Long> update(String kind, String name, byte[] value, long expectedVersion) {
		StoredObject object = this.objects.get(kind + "/" + name);
		return write(kind, name, value, object != null && object.version() == expectedVersion);
	}

	private CompletableFuture<Long> write(String kind, String name, byte[] value, boolean versionMatches) {
		if (this.down) {
			return CompletableFuture.failedFuture(new PlatformException(Kind.NO_ANSWER, "down"));
		}
		if (!versionMatches) {
			return CompletableFuture.failedFuture(new PlatformException(Kind.CONFLICT, "condition does not hold"));
		}
		this.version++;
		this.objects.put(kind + "/" + name, new StoredObject(name, this.version, value, false));
		if (this.loseNextResponse) {
			this.loseNextResponse = false;
			return CompletableFuture.failedFuture(new PlatformException(Kind.NO_ANSWER, "response lost"));
		}
		return CompletableFuture.completedFuture(this.version);
	}

	@Override
	public CompletableFuture<Void> delete(String kind, String name, long expectedVersion) {
		throw new UnsupportedOperationException("no test deletes");
	}

	@Override
	public CompletableFuture<ObjectPage> watch(String kind, long afterVersion, long waitMillis) {
		throw new UnsupportedOperationException("no test watches");
	}

}
