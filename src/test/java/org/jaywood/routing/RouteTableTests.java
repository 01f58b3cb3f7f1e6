package org.jaywood.routing;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RouteTableTests {

	private Route route(String name, String prefix, ServiceShare... shares) {
		return new Route(name, "host", prefix, RetryPolicy.IDEMPOTENT, 1_000, 100, 1, List.of(shares), 2, false,
				Set.of());
	}

	/**
	 * Guards against a call that is handled by the rules of another route.
	 */
	@Nested
	class Match {

		private final RouteTable table = RoutingFixtures.table(route("short", "/a/"), route("long", "/a/b/"));

		@Test
		void longestMatchingPrefixWins() {
			assertThat(this.table.route("host", "/a/b/c?x=/a/").orElseThrow().name()).isEqualTo("long");
			assertThat(this.table.route("host", "/a/c").orElseThrow().name()).isEqualTo("short");
		}

		@Test
		void otherHostsAndPathsMatchNoRoute() {
			assertThat(this.table.route("other", "/a/b/")).isEmpty();
			assertThat(this.table.route("host", "/ab/")).isEmpty();
			assertThat(this.table.route("host", "/x?p=/a/")).isEmpty();
		}

	}

	/**
	 * Guards against a split that sends one call to two services, or ignores the weights.
	 */
	@Nested
	class Split {

		@Test
		void splitFollowsWeightsAndIsStableForACall() {
			Route split = route("split", "/", new ServiceShare("x", 90), new ServiceShare("y", 10));
			long callsOfX = IntStream.range(0, 2_000)
				.mapToObj((number) -> split.serviceFor("call-" + number))
				.filter("x"::equals)
				.count();
			assertThat(callsOfX).isAtLeast(1_700L);
			assertThat(callsOfX).isAtMost(1_900L);
			assertThat(split.serviceFor("call-1")).isEqualTo(split.serviceFor("call-1"));
		}

	}

}
