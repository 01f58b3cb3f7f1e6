package org.jaywood.peer;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an idle process that sends more than one probe per second, and against
 * rounds of one probe when the propagation of a change or the contact to peers needs two.
 */
class ProbePaceTests {

	private static final long START_MILLIS = 1_000_000;

	private static final long LATER_MILLIS = START_MILLIS + 100_000;

	private final ProbePace pace = new ProbePace(START_MILLIS);

	@Test
	void probesOnePeerWhileNothingChanges() {
		assertThat(this.pace.probeCount(LATER_MILLIS, LATER_MILLIS - 1_000, false)).isEqualTo(1);
		assertThat(this.pace.intervalMillis(LATER_MILLIS)).isEqualTo(1_000);
	}

	@Test
	void probesTwoPeersAfterTheStart() {
		assertThat(this.pace.probeCount(START_MILLIS, START_MILLIS, false)).isEqualTo(2);
	}

	@Test
	void probesTwoPeersForSomeTimeAfterAChange() {
		this.pace.onChange(LATER_MILLIS);
		assertThat(this.pace.probeCount(LATER_MILLIS, LATER_MILLIS, false)).isEqualTo(2);
		assertThat(this.pace.intervalMillis(LATER_MILLIS)).isEqualTo(500);
		long lastRaised = LATER_MILLIS + ProbePace.RAISED_DURATION_MILLIS - 1;
		assertThat(this.pace.probeCount(lastRaised, lastRaised, false)).isEqualTo(2);
		assertThat(this.pace.probeCount(lastRaised + 1, lastRaised, false)).isEqualTo(1);
		assertThat(this.pace.intervalMillis(lastRaised + 1)).isEqualTo(1_000);
	}

	@Test
	void probesTwoPeersAfterSilenceOfAllPeers() {
		assertThat(this.pace.probeCount(LATER_MILLIS, LATER_MILLIS - ProbePace.MAX_PEER_SILENCE_MILLIS, false))
			.isEqualTo(1);
		assertThat(this.pace.probeCount(LATER_MILLIS, LATER_MILLIS - ProbePace.MAX_PEER_SILENCE_MILLIS - 1, false))
			.isEqualTo(2);
	}

	@Test
	void probesTwoPeersWhileLeaving() {
		assertThat(this.pace.probeCount(LATER_MILLIS, LATER_MILLIS, true)).isEqualTo(2);
	}

}
