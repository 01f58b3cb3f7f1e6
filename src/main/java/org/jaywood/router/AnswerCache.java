package org.jaywood.router;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * LRU cache of finished claims by name. Repeats of a key follow within seconds, which
 * admission by frequency does not suit; see {@code docs/notes/idempotency-cache.md}.
 */
final class AnswerCache {

	/** Estimated memory of an entry without its answer. */
	private static final int ENTRY_BYTES = 512;

	private final Map<ClaimName, Claim> claims = new LinkedHashMap<>(16, 0.75f, true);

	private final long maxBytes;

	private long cachedBytes;

	AnswerCache(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	synchronized @Nullable Claim get(ClaimName name) {
		return this.claims.get(name);
	}

	synchronized void put(ClaimName name, Claim claim) {
		this.cachedBytes += sizeBytes(claim);
		Claim replaced = this.claims.put(name, claim);
		this.cachedBytes -= (replaced != null) ? sizeBytes(replaced) : 0;
		while (this.cachedBytes > this.maxBytes) {
			Map.Entry<ClaimName, Claim> eldest = this.claims.entrySet().iterator().next();
			this.claims.remove(eldest.getKey());
			this.cachedBytes -= sizeBytes(eldest.getValue());
		}
	}

	private static long sizeBytes(Claim claim) {
		byte[] body = claim.body();
		return ENTRY_BYTES + ((body != null) ? body.length : 0);
	}

}
