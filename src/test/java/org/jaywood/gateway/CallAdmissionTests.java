package org.jaywood.gateway;

import java.util.List;
import java.util.Set;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.http.BufferedRequest;
import org.jaywood.platform.PlatformCalls;
import org.jaywood.routing.RetryPolicy;
import org.jaywood.routing.Route;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.ServiceShare;

import static com.google.common.truth.Truth.assertThat;

class CallAdmissionTests {

	private static final long NOW_MILLIS = 100_000;

	private static final long KEY_LIFETIME_MILLIS = 3_400;

	private final RouteTable table = RoutingFixtures.table(new Route("r", "host", "/a/", RetryPolicy.RESUMABLE_STREAM,
			6_000, 400, 1, List.of(new ServiceShare(RoutingFixtures.ENGINE_SERVICE, 1)), 2, false, Set.of()));

	private final CallAdmission admission = new CallAdmission(new PlatformCalls(), KEY_LIFETIME_MILLIS, 1_800);

	private static BufferedRequest request(String path, String key, long deadlineMillis) {
		BasicClassicHttpRequest head = new BasicClassicHttpRequest("POST", path);
		head.setHeader("Host", "host");
		head.setHeader("X-Attempt-Id", "call");
		head.setHeader("X-Deadline-Ms", Long.toString(deadlineMillis));
		head.setHeader("Authorization", "Bearer " + key);
		return new BufferedRequest(head, new byte[0]);
	}

	private static Call call(CallAdmission.Decision decision) {
		return ((CallAdmission.Decision.Admitted) decision).call();
	}

	private static CallFailure failure(CallAdmission.Decision decision) {
		return ((CallAdmission.Decision.Refused) decision).failure();
	}

	/**
	 * Guards against a key that is accepted after it was revoked, and against a client
	 * error for a route or key that a stale configuration does not contain yet.
	 */
	@Nested
	class ConfigurationAge {

		@Test
		void aKeyIsAcceptedUpToTheKeyLifetime() {
			CallAdmission.Decision decision = CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_000),
					CallAdmissionTests.this.table, NOW_MILLIS - KEY_LIFETIME_MILLIS, NOW_MILLIS);
			assertThat(decision).isInstanceOf(CallAdmission.Decision.Admitted.class);
		}

		@Test
		void aKeyIsRefusedAsNotRunWithAStaleConfiguration() {
			CallAdmission.Decision decision = CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_000),
					CallAdmissionTests.this.table, NOW_MILLIS - KEY_LIFETIME_MILLIS - 1, NOW_MILLIS);
			assertThat(failure(decision)).isInstanceOf(CallFailure.NotRun.class);
		}

		@Test
		void anUnknownRouteIsAClientErrorOnlyWithACurrentConfiguration() {
			assertThat(failure(CallAdmissionTests.this.admission.decide(request("/b/", "key-1", 6_000),
					CallAdmissionTests.this.table, NOW_MILLIS, NOW_MILLIS)))
				.isInstanceOf(CallFailure.ClientError.class);
			assertThat(failure(CallAdmissionTests.this.admission.decide(request("/b/", "key-1", 6_000),
					CallAdmissionTests.this.table, NOW_MILLIS - 2_000, NOW_MILLIS)))
				.isInstanceOf(CallFailure.NotRun.class);
		}

		@Test
		void withoutAConfigurationACallIsRefusedAsNotRun() {
			assertThat(failure(CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_000), null,
					NOW_MILLIS, NOW_MILLIS)))
				.isInstanceOf(CallFailure.NotRun.class);
		}

	}

	/**
	 * Guards against late retries of callers that take the capacity from calls that can
	 * still be answered in time.
	 */
	@Nested
	class Lateness {

		@Test
		void aShorterTimeoutThanTheLongestMarksALateRetry() {
			CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_042), CallAdmissionTests.this.table,
					NOW_MILLIS, NOW_MILLIS);
			Call retry = call(CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 5_000),
					CallAdmissionTests.this.table, NOW_MILLIS, NOW_MILLIS));
			Call fresh = call(CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_036),
					CallAdmissionTests.this.table, NOW_MILLIS, NOW_MILLIS));
			assertThat(retry.late()).isTrue();
			assertThat(fresh.late()).isFalse();
		}

	}

}
