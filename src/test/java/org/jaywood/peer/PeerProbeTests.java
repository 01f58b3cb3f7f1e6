package org.jaywood.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.jaywood.config.ConfigurationHolder;
import org.jaywood.event.EventLog;
import org.jaywood.store.VmPage;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;
import org.jaywood.wire.WireClient;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against peers that are never probed, against probes of the process itself, and
 * against fewer peers than requested.
 */
class PeerProbeTests {

	private final Membership membership = new Membership();

	private final PeerProbe peerProbe = new PeerProbe(new WireClient(null, null, Map::of, (reply) -> {
	}), new ConfigurationHolder(new EventLog("test")), this.membership, address(1), () -> {
		throw new IllegalStateException("no probe is sent");
	}, (probe) -> {
	}, Runnable::run);

	private static Address address(int number) {
		return new Address("127.0." + number / 200 + "." + (1 + number % 200), 7100);
	}

	private void mergeVms(int count) {
		this.membership.merge(new VmPage(1, IntStream.rangeClosed(1, count)
			.mapToObj((i) -> new VmRecord("vm-" + i, "agent", "pool", "doto", "kushiro-a", address(i), VmState.LIVE))
			.toList()));
	}

	private Set<Address> drawPeers(int rounds, int count) {
		Set<Address> seen = new HashSet<>();
		IntStream.range(0, rounds).forEach((round) -> {
			List<Address> drawn = this.peerProbe.randomPeers(count);
			assertThat(drawn).containsNoDuplicates();
			assertThat(drawn.size()).isEqualTo(count);
			seen.addAll(drawn);
		});
		return seen;
	}

	@Test
	void drawsEachOfAFewPeersButNotItself() {
		mergeVms(3);
		assertThat(drawPeers(100, 2)).containsExactly(address(2), address(3));
	}

	@Test
	void drawsNoPeersWhenAlone() {
		mergeVms(1);
		assertThat(this.peerProbe.randomPeers(2)).isEmpty();
	}

	@Test
	void drawsEachOfManyPeersButNotItself() {
		mergeVms(300);
		Set<Address> seen = drawPeers(10_000, 2);
		assertThat(seen).hasSize(299);
		assertThat(seen).doesNotContain(address(1));
	}

}
