package org.jaywood.router;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against load on the store that grows with the number of routers, and against
 * expired claims that no router sweeps.
 */
class SweeperElectionTests {

	private static final long NOW = 1_000 * SweeperElection.TERM_MILLIS;

	private final List<VmRecord> routers = IntStream.rangeClosed(1, 370).mapToObj((i) -> vm("router", i)).toList();

	private static VmRecord vm(String role, int number) {
		return new VmRecord(role + "-" + number, role, "", "doto", "kushiro-a",
				new Address("127.0." + number / 200 + "." + (1 + number % 200), 7100), VmState.LIVE);
	}

	private static List<String> elected(List<VmRecord> live, long wallMillis) {
		return live.stream()
			.map(VmRecord::vm)
			.filter((vm) -> SweeperElection.isElected(live.stream(), vm, wallMillis))
			.toList();
	}

	@Test
	void oneRouterIsElectedPerTerm() {
		assertThat(elected(this.routers, NOW)).hasSize(1);
		assertThat(elected(this.routers, NOW + SweeperElection.TERM_MILLIS - 1)).isEqualTo(elected(this.routers, NOW));
	}

	@Test
	void anotherRouterIsElectedWhenTheElectedOneIsGone() {
		String electedRouter = elected(this.routers, NOW).getFirst();
		List<VmRecord> remaining = this.routers.stream()
			.filter((router) -> !router.vm().equals(electedRouter))
			.toList();
		assertThat(elected(remaining, NOW)).hasSize(1);
	}

	/**
	 * Guards against a listed router that cannot reach the store and would prevent the
	 * sweep for ever.
	 */
	@Test
	void otherRoutersAreElectedInLaterTerms() {
		Set<String> elected = IntStream.range(0, 20)
			.mapToObj((term) -> elected(this.routers, NOW + term * SweeperElection.TERM_MILLIS).getFirst())
			.collect(Collectors.toSet());
		assertThat(elected.size()).isGreaterThan(10);
	}

	@Test
	void agentIsNeverElected() {
		List<VmRecord> live = Stream
			.concat(this.routers.stream(), IntStream.rangeClosed(1, 1_600).mapToObj((i) -> vm("agent", i)))
			.toList();
		assertThat(elected(live, NOW)).isEqualTo(elected(this.routers, NOW));
	}

	@Test
	void routerThatKnowsNoRouterElectsItself() {
		assertThat(SweeperElection.isElected(Stream.of(vm("agent", 1)), "router-1", NOW)).isTrue();
	}

}
