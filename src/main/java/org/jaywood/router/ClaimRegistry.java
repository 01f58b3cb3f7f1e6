package org.jaywood.router;

import java.time.Duration;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import com.github.f4b6a3.uuid.util.UuidUtil;

import org.jaywood.store.ObjectStore;
import org.jaywood.wire.BadInputException;

/**
 * Runs calls with an idempotency key at most once, even if the caller repeats them
 * through different routers.
 */
final class ClaimRegistry {

	/** Claims may be deleted after this time, so older keys are rejected. */
	static final Duration RETENTION = Duration.ofHours(24);

	/** Largest time by which a caller's clock may be ahead. */
	static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(5);

	private static final long MAX_CACHE_BYTES = 8 * 1024 * 1024;

	private final ClaimStore store;

	private final CallExecutor executor;

	private final LongSupplier clock;

	private final Set<ClaimName> claimsInProgress = ConcurrentHashMap.newKeySet();

	private final AnswerCache finishedClaims = new AnswerCache(MAX_CACHE_BYTES);

	ClaimRegistry(ObjectStore objects, CallExecutor executor, LongSupplier clock) {
		this.store = new ClaimStore(objects);
		this.executor = executor;
		this.clock = clock;
	}

	/**
	 * Runs a call under its key.
	 * @param call a call that is not retryable
	 * @param key the caller's key
	 * @param sink takes the answer
	 * @param wallMillis present time, milliseconds since the epoch
	 * @return the result of the call
	 * @throws BadInputException if the key is not a UUIDv7, is older than the retention
	 * or too far ahead
	 */
	CallResult run(Call call, String key, AnswerSink sink, long wallMillis) throws InterruptedException {
		ClaimName name = ClaimName.of(call, parseKey(key, wallMillis));
		KeyedCall keyedCall = new KeyedCall(this.store, this.executor, this.clock, call, name, sink);
		Claim cachedClaim = this.finishedClaims.get(name);
		if (cachedClaim != null) {
			return keyedCall.replay(cachedClaim);
		}
		if (!this.claimsInProgress.add(name)) {
			return new CallResult.InProgress();
		}
		try {
			CallResult result = keyedCall.run();
			Claim claim = keyedCall.finishedClaim();
			if (claim != null) {
				this.finishedClaims.put(name, claim);
			}
			return result;
		}
		finally {
			this.claimsInProgress.remove(name);
		}
	}

	private static UUID parseKey(String key, long wallMillis) {
		UUID uuid;
		try {
			uuid = UUID.fromString(key);
		}
		catch (IllegalArgumentException ex) {
			throw new BadInputException(400, "Idempotency-Key is not a UUIDv7");
		}
		if (!UuidUtil.isTimeOrderedEpoch(uuid)) {
			throw new BadInputException(400, "Idempotency-Key is not a UUIDv7");
		}
		long ageMillis = wallMillis - UuidUtil.getInstant(uuid).toEpochMilli();
		if (ageMillis > RETENTION.toMillis() || ageMillis < -MAX_CLOCK_SKEW.toMillis()) {
			throw new BadInputException(400, "Idempotency-Key is older than 24 h or more than 5 min ahead");
		}
		return uuid;
	}

}
