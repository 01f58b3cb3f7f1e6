package org.jaywood.peer;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an idle process that spends more than one exchange a second, and against
 * a single probe where the spread of a change or the contact to peers depends on two.
 */
class ProbePaceTests {

	private static final long START = 1_000_000;

	private static final long LATER = START + 100_000;

	private final ProbePace pace = new ProbePace(START);

	@Test
	void probesOnePeerWhileNothingChanges() {
		assertThat(this.pace.probes(LATER, LATER - 1_000, false)).isEqualTo(1);
		assertThat(this.pace.intervalMillis(LATER)).isEqualTo(1_000);
	}

	@Test
	void probesTwoPeersAfterTheStart() {
		assertThat(this.pace.probes(START, START, false)).isEqualTo(2);
	}

	@Test
	void probesTwoPeersForSomeTimeAfterAChange() {
		this.pace.changed(LATER);
		assertThat(this.pace.probes(LATER, LATER, false)).isEqualTo(2);
		assertThat(this.pace.intervalMillis(LATER)).isEqualTo(500);
		long lastRaised = LATER + ProbePace.RAISED_MILLIS - 1;
		assertThat(this.pace.probes(lastRaised, lastRaised, false)).isEqualTo(2);
		assertThat(this.pace.probes(lastRaised + 1, lastRaised, false)).isEqualTo(1);
		assertThat(this.pace.intervalMillis(lastRaised + 1)).isEqualTo(1_000);
	}

	@Test
	void probesTwoPeersWhenNoneIsHeard() {
		assertThat(this.pace.probes(LATER, LATER - ProbePace.UNHEARD_MILLIS, false)).isEqualTo(1);
		assertThat(this.pace.probes(LATER, LATER - ProbePace.UNHEARD_MILLIS - 1, false)).isEqualTo(2);
	}

	@Test
	void probesTwoPeersWhileLeaving() {
		assertThat(this.pace.probes(LATER, LATER, true)).isEqualTo(2);
	}

}
