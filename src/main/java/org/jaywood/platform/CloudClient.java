package org.jaywood.platform;

import java.io.IOException;

import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedResponse;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.ResponseLimits;
import org.jaywood.leader.CallPacer;
import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Client of the platform's cloud API. A call is sent only while its term is valid, and
 * the connection is reset when there is no response, so that a call does not arrive after
 * those of the next leader.
 */
final class CloudClient {

	/** Time for a response; the cloud API is slow now and then. */
	private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

	private static final int MAX_RESPONSE_BYTES = 64 * 1024;

	private final Address address;

	private final CallPacer pacer;

	private final ConnectionPool pool = new ConnectionPool();

	/**
	 * Creates a client.
	 * @param callsPerSecond most calls a second
	 */
	CloudClient(Address address, double callsPerSecond) {
		this.address = address;
		this.pacer = new CallPacer(callsPerSecond);
	}

	/**
	 * Makes a call in a term. A call beyond the rate is refused here with the status that
	 * the platform would give.
	 */
	CloudResponse post(LeaderTerm term, String path, Object body) {
		long nowMillis = BootClock.nowMillis();
		if (!this.pacer.tryCall(nowMillis)) {
			return new CloudResponse.Refused(HttpStatus.SC_TOO_MANY_REQUESTS);
		}
		long timeoutMillis = Math.min(RESPONSE_TIMEOUT_MILLIS, term.validUntilMillis() - nowMillis);
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", path);
		request.setHeader("Content-Type", "application/json");
		request.setHeader("X-Duty-Holder", term.holder());
		request.setHeader("X-Fencing-Token", Long.toString(term.token()));
		try {
			BufferedResponse response = this.pool.exchangeIf(this.address, request, Json.bytes(body),
					new ResponseLimits(Math.max(1, timeoutMillis), MAX_RESPONSE_BYTES),
					() -> term.isValid(BootClock.nowMillis()));
			if (response == null) {
				return new CloudResponse.Unknown("the term has ended");
			}
			return response.ok() ? new CloudResponse.Accepted() : new CloudResponse.Refused(response.status());
		}
		catch (IOException ex) {
			return new CloudResponse.Unknown(String.valueOf(ex.getMessage()));
		}
	}

}
