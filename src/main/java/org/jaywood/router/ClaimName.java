package org.jaywood.router;

import java.util.UUID;

import com.github.f4b6a3.uuid.util.UuidUtil;

import org.jaywood.wire.Digests;

/**
 * Name of a claim in the store. The kind contains the time of the key, so that expired
 * claims can be listed without reading current ones.
 *
 * @param kind kind of object
 * @param name name within the kind
 */
record ClaimName(String kind, String name) {

	/**
	 * Length of a period; the claims of a period share a kind. A list of a kind is read
	 * as a whole, and at 300 claims a second this bounds it to 3,000 claims.
	 */
	static final long PERIOD_MILLIS = 10_000;

	static ClaimName of(Call call, UUID key) {
		return new ClaimName(kind(UuidUtil.getInstant(key).toEpochMilli() / PERIOD_MILLIS),
				call.service() + "." + Digests.sha256(call.workspace() + "\n" + key));
	}

	/**
	 * Returns the kind of the claims of a period.
	 * @param period number of the period since the epoch
	 */
	static String kind(long period) {
		return "claims-" + period;
	}

}
