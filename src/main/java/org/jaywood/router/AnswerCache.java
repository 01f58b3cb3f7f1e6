package org.jaywood.router;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Finished claims by their name, the least recently used given up first. Repeats of a key
 * come within seconds, which an admission by frequency does not serve; see
 * {@code docs/notes/idempotency-cache.md}.
 */
final class AnswerCache {

	/** Memory of an entry without its answer, estimated. */
	private static final int ENTRY_BYTES = 512;

	private final Map<ClaimName, Claim> claims = new LinkedHashMap<>(16, 0.75f, true);

	private final long limitBytes;

	private long heldBytes;

	AnswerCache(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	synchronized @Nullable Claim get(ClaimName name) {
		return this.claims.get(name);
	}

	synchronized void put(ClaimName name, Claim claim) {
		this.heldBytes += bytes(claim);
		Claim before = this.claims.put(name, claim);
		this.heldBytes -= (before != null) ? bytes(before) : 0;
		while (this.heldBytes > this.limitBytes) {
			Map.Entry<ClaimName, Claim> eldest = this.claims.entrySet().iterator().next();
			this.claims.remove(eldest.getKey());
			this.heldBytes -= bytes(eldest.getValue());
		}
	}

	private static long bytes(Claim claim) {
		byte[] body = claim.body();
		return ENTRY_BYTES + ((body != null) ? body.length : 0);
	}

}
