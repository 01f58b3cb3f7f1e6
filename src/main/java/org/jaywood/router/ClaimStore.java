package org.jaywood.router;

import org.jaywood.store.Futures;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;
import org.jaywood.wire.Json;

/**
 * Claims in the object API. A write whose reply was lost is repeated under the same
 * condition; the claim found then tells by its write id whether it took effect.
 */
final class ClaimStore {

	private static final int TRIES = 3;

	private final ObjectStore objects;

	ClaimStore(ObjectStore objects) {
		this.objects = objects;
	}

	/**
	 * Writes a claim.
	 * @param name name of the claim
	 * @param claim the claim
	 * @param expectedVersion version to replace, 0 to create
	 * @return what is known about the write
	 */
	Written write(ClaimName name, Claim claim, long expectedVersion) {
		byte[] value = Json.bytes(claim);
		for (int i = 0; i < TRIES; i++) {
			try {
				return new Written.Done(
						Futures.await((expectedVersion == 0) ? this.objects.create(name.kind(), name.name(), value)
								: this.objects.update(name.kind(), name.name(), value, expectedVersion)));
			}
			catch (PlatformException ex) {
				if (ex.kind() == Kind.CONFLICT || ex.kind() == Kind.NOT_FOUND) {
					return afterConflict(name, claim);
				}
			}
		}
		return new Written.Uncertain();
	}

	private Written afterConflict(ClaimName name, Claim claim) {
		for (int i = 0; i < TRIES; i++) {
			try {
				Versioned found = read(name);
				return found.claim().writeId().equals(claim.writeId()) ? new Written.Done(found.version())
						: new Written.Conflict();
			}
			catch (PlatformException ex) {
				if (ex.kind() == Kind.NOT_FOUND) {
					return new Written.Conflict();
				}
			}
		}
		return new Written.Uncertain();
	}

	/**
	 * Reads a claim.
	 * @throws PlatformException if there is none or it cannot be read
	 */
	Versioned read(ClaimName name) {
		StoredObject object = Futures.await(this.objects.get(name.kind(), name.name()));
		return new Versioned(Json.read(object.value(), Claim.class), object.version());
	}

	/**
	 * Deletes a claim whose call did not run.
	 * @return whether no other router has taken the claim over, as far as known
	 */
	boolean release(ClaimName name, long version) {
		try {
			Futures.await(this.objects.delete(name.kind(), name.name(), version));
			return true;
		}
		catch (PlatformException ex) {
			// A claim that stays is taken over by fencing its hand-over.
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
	sealed interface Written {

		/**
		 * The claim is in force.
		 */
		record Done(long version) implements Written {
		}

		/**
		 * Another claim is in force.
		 */
		record Conflict() implements Written {
		}

		/**
		 * The platform does not answer.
		 */
		record Uncertain() implements Written {
		}

	}

}
