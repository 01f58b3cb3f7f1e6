package org.jaywood.routing;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryAfterTests {

	private static final long NOW = 100_000;

	/** Upper bound of the retry time. */
	private static final long MAX_RETRY_AFTER_MILLIS = 31_000;

	private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

	private final CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);

	RetryAfterTests() {
		this.dispatcher.onRouteTable(RoutingFixtures.table(), NOW);
		this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
	}

	/**
	 * Guards against refused callers that get an excessive retry time, or none.
	 */
	@Nested
	class Bounds {

		@Test
		void retryAfterIsBoundedWithoutEjection() {
			long retryMillis = RetryAfterTests.this.dispatcher.retryAfterMillis(RetryAfterTests.this.requirements,
					6_000, NOW);
			assertThat(retryMillis).isGreaterThan(0);
			assertThat(retryMillis).isLessThan(MAX_RETRY_AFTER_MILLIS);
		}

		@Test
		void retryAfterIsBoundedWithEjectedUpstream() {
			QueuedCall queuedCall = RetryAfterTests.this.dispatcher.enqueue(RetryAfterTests.this.requirements, NOW);
			Placement placement = queuedCall.placement().join();
			RetryAfterTests.this.dispatcher.recordEnd(placement, Outcome.UNREACHABLE, NOW);
			long retryMillis = RetryAfterTests.this.dispatcher.retryAfterMillis(RetryAfterTests.this.requirements,
					6_000, NOW);
			assertThat(retryMillis).isGreaterThan(0);
			assertThat(retryMillis).isLessThan(MAX_RETRY_AFTER_MILLIS);
		}

	}

}
