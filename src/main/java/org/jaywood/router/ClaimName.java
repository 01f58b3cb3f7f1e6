package org.jaywood.router;

import java.util.UUID;

import com.github.f4b6a3.uuid.util.UuidUtil;

import org.jaywood.wire.Digests;

/**
 * Name of a claim in the object API. The kind holds the time of the key, so that expired
 * claims can be listed without reading those in force.
 *
 * @param kind kind of object
 * @param name name within the kind
 */
record ClaimName(String kind, String name) {

	/**
	 * Time whose claims share a kind. A listing is read as a whole, and at 300 claims a
	 * second this bounds it to 3,000 claims.
	 */
	static final long PERIOD_MILLIS = 10_000;

	static ClaimName of(Call call, UUID key) {
		return new ClaimName(kind(UuidUtil.getInstant(key).toEpochMilli() / PERIOD_MILLIS),
				call.service() + "." + Digests.sha256(call.workspace() + "\n" + key));
	}

	/**
	 * Kind of the claims of a period.
	 * @param period number of the period since the epoch
	 */
	static String kind(long period) {
		return "claims-" + period;
	}

}
