package org.jaywood.peer;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.store.VmPage;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a leaving VM that gets new work because the platform's list lags, and
 * against more watches than the read rate of the platform allows.
 */
class MembershipTests {

	private final Membership membership = new Membership();

	private static VmRecord vm(int number, VmState state) {
		return new VmRecord("vm-" + number, "agent", "pool", "doto", "kushiro-a",
				new Address("127.0.0." + number, 7100), state);
	}

	/**
	 * Guards against lists that peers cannot update, and against stale pages of peers
	 * that overwrite a newer list.
	 */
	@Nested
	class PeerChanges {

		private final Membership membership = MembershipTests.this.membership;

		@Test
		void updatesAnOlderList() {
			Membership older = new Membership();
			older.merge(new VmPage(1, List.of(vm(1, VmState.LIVE), vm(2, VmState.LIVE))));
			this.membership.merge(new VmPage(1, List.of(vm(1, VmState.LIVE), vm(2, VmState.LIVE))));
			this.membership.merge(new VmPage(3, List.of(vm(1, VmState.GONE), vm(3, VmState.LIVE))));
			older.mergeFromPeer(this.membership.changesAfter(older.version()).orElseThrow());
			assertThat(older.version()).isEqualTo(3);
			assertThat(older.live().map(VmRecord::vm).toList()).containsExactly("vm-2", "vm-3");
		}

		@Test
		void ignoresOlderPageOfAPeer() {
			this.membership.merge(new VmPage(5, List.of(vm(1, VmState.LEAVING))));
			this.membership.mergeFromPeer(new VmPage(4, List.of(vm(1, VmState.LIVE))));
			assertThat(this.membership.live().count()).isEqualTo(0);
		}

		@Test
		void sendsOnlyLaterChanges() {
			this.membership.merge(new VmPage(1, List.of(vm(1, VmState.LIVE))));
			this.membership.merge(new VmPage(2, List.of(vm(2, VmState.LIVE))));
			assertThat(this.membership.changesAfter(1).orElseThrow().vms()).containsExactly(vm(2, VmState.LIVE));
		}

		@Test
		void returnsNoChangesAfterDiscardedRemovals() {
			IntStream.rangeClosed(1, 1_100)
				.forEach((number) -> this.membership.merge(new VmPage(number, List.of(new VmRecord("gone-" + number,
						"agent", "pool", "doto", "kushiro-a", new Address("127.0.0.1", 7100), VmState.GONE)))));
			assertThat(this.membership.changesAfter(1)).isEqualTo(Optional.empty());
			assertThat(this.membership.changesAfter(1_000).orElseThrow().vms()).hasSize(100);
		}

	}

	@Nested
	class Merge {

		private final Membership membership = MembershipTests.this.membership;

		@Test
		void keepsObservedLeavingUntilListShowsVmAsGone() {
			this.membership.merge(new VmPage(1, List.of(vm(1, VmState.LIVE), vm(2, VmState.LIVE))));
			this.membership.observeLeaving(vm(1, VmState.LIVE).address());
			this.membership.merge(new VmPage(2, List.of(vm(1, VmState.LIVE))));
			assertThat(this.membership.agentsOf("pool").map(VmRecord::vm).toList()).containsExactly("vm-2");
			this.membership.merge(new VmPage(3, List.of(vm(1, VmState.GONE))));
			this.membership.merge(new VmPage(4, List.of(vm(1, VmState.LIVE))));
			assertThat(this.membership.live().count()).isEqualTo(2);
		}

		@Test
		void clearsObservedLeavingWhenVmServesAgain() {
			this.membership.merge(new VmPage(1, List.of(vm(1, VmState.LIVE))));
			this.membership.observeLeaving(vm(1, VmState.LIVE).address());
			this.membership.observeServing(vm(1, VmState.LIVE).address());
			assertThat(this.membership.live().count()).isEqualTo(1);
		}

		@Test
		void keepsVmsThatAreMissingFromAnOlderList() {
			this.membership.merge(new VmPage(9, List.of(vm(1, VmState.LIVE), vm(2, VmState.LIVE))));
			this.membership.merge(new VmPage(3, List.of(vm(1, VmState.LIVE))));
			assertThat(this.membership.version()).isEqualTo(3);
			assertThat(this.membership.live().count()).isEqualTo(2);
		}

		@Test
		void mergesListOfPeerOnlyWhenEmpty() {
			this.membership.mergeIfEmpty(new VmPage(5, List.of(vm(1, VmState.LIVE))));
			assertThat(this.membership.live().count()).isEqualTo(1);
			this.membership.merge(new VmPage(6, List.of()));
			this.membership.mergeIfEmpty(new VmPage(9, List.of(vm(2, VmState.LIVE))));
			assertThat(this.membership.live().count()).isEqualTo(1);
		}

	}

	/**
	 * Guards against a list of live VMs that misses a change, and against building a new
	 * list for each call.
	 */
	@Nested
	class LiveList {

		private final Membership membership = MembershipTests.this.membership;

		private List<String> live() {
			return this.membership.liveList().stream().map(VmRecord::vm).toList();
		}

		@Test
		void staysTheSameObjectUntilItChanges() {
			this.membership.merge(new VmPage(1, List.of(vm(1, VmState.LIVE), vm(2, VmState.LIVE))));
			List<VmRecord> before = this.membership.liveList();
			this.membership.observeServing(vm(1, VmState.LIVE).address());
			assertThat(this.membership.liveList()).isSameInstanceAs(before);
			this.membership.merge(new VmPage(2, List.of(vm(2, VmState.GONE))));
			assertThat(this.membership.liveList()).isNotSameInstanceAs(before);
		}

		@Test
		void reflectsEachKindOfChange() {
			assertThat(live()).isEmpty();
			this.membership.mergeIfEmpty(new VmPage(1, List.of(vm(1, VmState.LIVE))));
			assertThat(live()).containsExactly("vm-1");
			this.membership.merge(new VmPage(1, List.of(vm(1, VmState.LIVE), vm(2, VmState.LIVE))));
			assertThat(live()).containsExactly("vm-1", "vm-2");
			this.membership.observeLeaving(vm(1, VmState.LIVE).address());
			assertThat(live()).containsExactly("vm-2");
			this.membership.observeServing(vm(1, VmState.LIVE).address());
			assertThat(live()).containsExactly("vm-1", "vm-2");
			this.membership.mergeFromPeer(new VmPage(2, List.of(vm(2, VmState.LEAVING))));
			assertThat(live()).containsExactly("vm-1");
		}

	}

	@Nested
	class Watchers {

		/**
		 * Guards against a cached result that is used for another list.
		 */
		@Test
		void areElectedAgainAfterAChange() {
			WatcherElection election = new WatcherElection();
			List<VmRecord> first = IntStream.rangeClosed(1, 20).mapToObj((i) -> vm(i, VmState.LIVE)).toList();
			List<String> elected = elected(first);
			String vm = elected.getFirst();
			assertThat(election.isElected(first, "kushiro-a", vm)).isTrue();
			assertThat(election.isElected(first, "kushiro-a", vm)).isTrue();
			List<VmRecord> without = first.stream().filter((entry) -> !entry.vm().equals(vm)).toList();
			assertThat(election.isElected(without, "kushiro-a", vm)).isFalse();
			assertThat(election.isElected(first, "kushiro-a", vm)).isTrue();
		}

		private List<String> elected(List<VmRecord> live) {
			return live.stream()
				.map(VmRecord::vm)
				.filter((vm) -> WatcherElection.isElected(live.stream(), "kushiro-a", vm))
				.toList();
		}

		@Test
		void areThreeOfADataCentre() {
			List<VmRecord> live = IntStream.rangeClosed(1, 100).mapToObj((i) -> vm(i, VmState.LIVE)).toList();
			assertThat(live.stream()
				.filter((entry) -> WatcherElection.isElected(live.stream(), "kushiro-a", entry.vm()))
				.count()).isEqualTo(3);
		}

		@Test
		void areElectedWithoutKnownNeighbours() {
			assertThat(WatcherElection.isElected(Stream.of(), "kushiro-a", "vm-1")).isTrue();
		}

	}

	@Nested
	class Contact {

		@Test
		void isIsolatedOnlyWhenPlatformAndPeersAreSilent() {
			EventLog log = new EventLog("test");
			PlatformContact platform = new PlatformContact(log, 0);
			Isolation isolation = new Isolation(30_000, platform, log, 0);
			assertThat(isolation.isolated(30_000)).isFalse();
			assertThat(isolation.isolated(30_001)).isTrue();
			isolation.onPeerContact(20_000);
			assertThat(isolation.isolated(50_000)).isFalse();
			platform.onAnswer(40_000);
			assertThat(isolation.isolated(70_000)).isFalse();
			assertThat(isolation.isolated(70_001)).isTrue();
		}

	}

}
