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

	private static final long NOW = 100_000;

	private static final long KEY_LIFETIME = 3_400;

	private final RouteTable table = RoutingFixtures.table(new Route("r", "host", "/a/", RetryPolicy.RESUMABLE_STREAM,
			6_000, 400, 1, List.of(new ServiceShare(RoutingFixtures.POOL, 1)), 2, false, Set.of()));

	private final CallAdmission admission = new CallAdmission(new PlatformCalls(), KEY_LIFETIME, 1_800);

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
	 * Guards against a key that runs calls after it was taken away, and against a gateway
	 * that denies what it only has not learned yet.
	 */
	@Nested
	class Age {

		@Test
		void aKeyIsAcceptedWhileTheConfigurationIsKnownToBeInForce() {
			CallAdmission.Decision decision = CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_000),
					CallAdmissionTests.this.table, NOW - KEY_LIFETIME, NOW);
			assertThat(decision).isInstanceOf(CallAdmission.Decision.Admitted.class);
		}

		@Test
		void aKeyIsRefusedAsNotRunOnceThatIsTooOld() {
			CallAdmission.Decision decision = CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_000),
					CallAdmissionTests.this.table, NOW - KEY_LIFETIME - 1, NOW);
			assertThat(failure(decision)).isInstanceOf(CallFailure.NotRun.class);
		}

		@Test
		void anUnknownRouteOrKeyIsDeniedOnlyByACurrentConfiguration() {
			assertThat(failure(CallAdmissionTests.this.admission.decide(request("/b/", "key-1", 6_000),
					CallAdmissionTests.this.table, NOW, NOW)))
				.isInstanceOf(CallFailure.ClientError.class);
			assertThat(failure(CallAdmissionTests.this.admission.decide(request("/b/", "key-1", 6_000),
					CallAdmissionTests.this.table, NOW - 2_000, NOW)))
				.isInstanceOf(CallFailure.NotRun.class);
		}

		@Test
		void withoutAConfigurationNothingIsDenied() {
			assertThat(
					failure(CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_000), null, NOW, NOW)))
				.isInstanceOf(CallFailure.NotRun.class);
		}

	}

	/**
	 * Guards against callers that come back late taking the places of those that can
	 * still be served in time.
	 */
	@Nested
	class Lateness {

		@Test
		void aShorterDeadlineThanUsualShowsACallerThatCameBack() {
			CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_042), CallAdmissionTests.this.table, NOW,
					NOW);
			Call returned = call(CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 5_000),
					CallAdmissionTests.this.table, NOW, NOW));
			Call fresh = call(CallAdmissionTests.this.admission.decide(request("/a/", "key-1", 6_036),
					CallAdmissionTests.this.table, NOW, NOW));
			assertThat(returned.late()).isTrue();
			assertThat(fresh.late()).isFalse();
		}

	}

}
