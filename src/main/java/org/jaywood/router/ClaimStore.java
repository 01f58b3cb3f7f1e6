package org.jaywood.router;

import org.jaywood.store.Futures;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;
import org.jaywood.wire.Json;

/**
 * Reads and writes claims in the store. A write whose response was lost is repeated with
 * the same expected version; the write id of the claim found then shows whether the first
 * write took effect.
 */
final class ClaimStore {

	private static final int MAX_TRIES = 3;

	private final ObjectStore store;

	ClaimStore(ObjectStore store) {
		this.store = store;
	}

	/**
	 * Writes a claim.
	 * @param name name of the claim
	 * @param claim the claim
	 * @param expectedVersion version to replace, 0 to create
	 * @return what is known about the write
	 */
	WriteResult write(ClaimName name, Claim claim, long expectedVersion) {
		byte[] value = Json.bytes(claim);
		for (int i = 0; i < MAX_TRIES; i++) {
			try {
				return new WriteResult.Done(
						Futures.await((expectedVersion == 0) ? this.store.create(name.kind(), name.name(), value)
								: this.store.update(name.kind(), name.name(), value, expectedVersion)));
			}
			catch (PlatformException ex) {
				if (ex.kind() == Kind.CONFLICT || ex.kind() == Kind.NOT_FOUND) {
					return resolveConflict(name, claim);
				}
			}
		}
		return new WriteResult.Indeterminate();
	}

	private WriteResult resolveConflict(ClaimName name, Claim claim) {
		for (int i = 0; i < MAX_TRIES; i++) {
			try {
				Versioned found = read(name);
				return found.claim().writeId().equals(claim.writeId()) ? new WriteResult.Done(found.version())
						: new WriteResult.Conflict();
			}
			catch (PlatformException ex) {
				if (ex.kind() == Kind.NOT_FOUND) {
					return new WriteResult.Conflict();
				}
			}
		}
		return new WriteResult.Indeterminate();
	}

	/**
	 * Reads a claim.
	 * @throws PlatformException if there is none or it cannot be read
	 */
	Versioned read(ClaimName name) {
		StoredObject object = Futures.await(this.store.get(name.kind(), name.name()));
		return new Versioned(Json.read(object.value(), Claim.class), object.version());
	}

	/**
	 * Deletes a claim whose call did not run.
	 * @return false if another router has replaced the claim, else true, also if the
	 * deletion failed
	 */
	boolean release(ClaimName name, long version) {
		try {
			Futures.await(this.store.delete(name.kind(), name.name(), version));
			return true;
		}
		catch (PlatformException ex) {
			// A claim that was not deleted can be replaced after its attempt was fenced.
			return ex.kind() != Kind.CONFLICT;
		}
	}

	/**
	 * A claim and its version.
	 */
	record Versioned(Claim claim, long version) {
	}

	/**
	 * What is known about a write.
	 */
	sealed interface WriteResult {

		/**
		 * The claim is in force.
		 */
		record Done(long version) implements WriteResult {
		}

		/**
		 * Another claim is in force.
		 */
		record Conflict() implements WriteResult {
		}

		/**
		 * The store did not respond, so the write may or may not have taken effect.
		 */
		record Indeterminate() implements WriteResult {
		}

	}

}
