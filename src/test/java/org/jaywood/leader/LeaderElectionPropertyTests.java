package org.jaywood.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against two processes that act with one token, tokens that fall, a holder that
 * is back too soon, and a lease that nobody takes, under random suspensions, partitions,
 * kills, lost responses, late writes and restores of the store.
 */
class LeaderElectionPropertyTests {

	private static final long LEASE_MILLIS = 3_000;

	/** Lease, margin, two polls, and the requests in between. */
	private static final long TAKEOVER_LIMIT_MILLIS = 3_000 + 500 + 2 * 2_000 + 1_400;

	@Property(tries = 150, seed = "1")
	void oneProcessActsAtATimeAndSomebodyHoldsTheLease(@ForAll @IntRange(min = 2, max = 5) int size,
			@ForAll long seed) {
		Random random = new Random(seed);
		ActChecker checker = new ActChecker();
		LeaderFleet[] fleet = new LeaderFleet[1];
		fleet[0] = new LeaderFleet(size, random,
				(member) -> new ActingTask((term) -> checker.onAct(member, term, fleet[0].nowMillis())));
		for (int round = 0; round < 4; round++) {
			fleet[0].run(30_000, 0.6);
			fleet[0].heal();
			fleet[0].run(TAKEOVER_LIMIT_MILLIS, 0);
			assertWithMessage("number of leaders")
				.that(fleet[0].members().stream().filter((member) -> member.term().isPresent()).count())
				.isEqualTo(1);
		}
	}

	private record ActingTask(Consumer<LeaderTerm> onAct) implements LeaderTask {

		@Override
		public String name() {
			return "acting";
		}

		@Override
		public void onTick(LeaderTerm term, long nowMillis) {
			this.onAct.accept(term);
		}

	}

	/**
	 * Checks the acts of all processes in their order.
	 */
	private static final class ActChecker {

		private final Map<Long, String> processByToken = new HashMap<>();

		private final Map<String, Long> lastActMillis = new HashMap<>();

		private long highestToken = -1;

		private String lastVm = "";

		void onAct(LeaderFleet.Member member, LeaderTerm term, long nowMillis) {
			assertWithMessage("token").that(term.token()).isAtLeast(this.highestToken);
			this.highestToken = term.token();
			String process = this.processByToken.putIfAbsent(term.token(), member.process());
			assertWithMessage("process of token %s", term.token()).that((process != null) ? process : member.process())
				.isEqualTo(member.process());
			if (!this.lastVm.equals(member.vm())) {
				long backAfterMillis = nowMillis - this.lastActMillis.getOrDefault(member.vm(), 0L);
				assertWithMessage("time until %s acts again", member.vm()).that(backAfterMillis)
					.isAtLeast(LEASE_MILLIS);
				this.lastVm = member.vm();
			}
			this.lastActMillis.put(member.vm(), nowMillis);
		}

	}

}
