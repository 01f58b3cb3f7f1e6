package org.jaywood.metering;

import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

import com.google.common.collect.Range;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

import org.jaywood.leader.LeaderFleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against two different reports of one window, whatever is killed, suspended, cut
 * off or restored, and against windows that are late or wrong where nothing or one
 * process fails.
 */
class UsageReportingPropertyTests {

	private static final Logger LOGGER = Logger.getLogger("org.jaywood");

	@BeforeProperty
	void quietLog() {
		LOGGER.setLevel(Level.SEVERE);
	}

	@AfterProperty
	void restoreLog() {
		LOGGER.setLevel(null);
	}

	@Property(tries = 150, seed = "1")
	void noTwoReportsOfAWindowDiffer(@ForAll @IntRange(min = 2, max = 5) int size, @ForAll long seed) {
		UsageFleet usage = new UsageFleet(size, new Random(seed));
		for (int round = 0; round < 3; round++) {
			usage.run(40_000, 0.5, 0.3);
			usage.fleet().heal();
			usage.run(10_000, 0, 0.1);
		}
		assertThat(usage.violations()).isEmpty();
		assertThat(usage.accepted()).isNotEmpty();
	}

	@Example
	void withoutFaultsEachWindowIsReportedExactly() {
		UsageFleet usage = new UsageFleet(4, new Random(1));
		usage.run(12_000, 0, 0);
		long first = usage.window();
		usage.run(60_000, 0, 0);
		for (long window = first; window <= usage.window() - 2; window++) {
			assertWithMessage("window %s", window).that(usage.accepted().get(window))
				.isEqualTo(usage.truth().get(window));
		}
	}

	@Property(tries = 40, seed = "1")
	void windowsAroundTheEndOfTheLeaderAreReportedInTime(@ForAll long seed) {
		UsageFleet usage = new UsageFleet(4, new Random(seed));
		usage.run(12_000 + Math.floorMod(seed, 10) * 500, 0, 0);
		long first = usage.window();
		usage.run(10_000, 0, 0);
		usage.leader().restart();
		for (int steps = 0; steps < 60; steps++) {
			usage.run(500, 0, 0);
			long due = usage.window() - 3;
			if (due >= first) {
				assertWithMessage("window %s", due).that(usage.accepted().get(due)).isNotNull();
				long lost = total(usage.truth().get(due)) - total(usage.accepted().get(due));
				assertWithMessage("calls lost of window %s", due).that(lost).isAtMost(20);
			}
		}
		assertThat(usage.violations()).isEmpty();
	}

	/**
	 * Guards against counts that only the leader has: those that gateways report to it
	 * reach the lease a second later.
	 */
	@Property(tries = 40, seed = "1")
	void leaderKilledAfterTheEndOfAWindowLosesNothingOfThatWindow(@ForAll long seed) {
		UsageFleet usage = new UsageFleet(4, new Random(seed));
		usage.run(12_000, 0, 0);
		for (long window = usage.window(); usage.window() == window;) {
			usage.run(500, 0, 0);
		}
		long ended = usage.window() - 1;
		usage.leader().restart();
		usage.run(13_000, 0, 0);
		assertWithMessage("calls of window %s", ended).that(usage.accepted().get(ended))
			.isEqualTo(usage.truth().get(ended));
		// Calls that the leader had counted since its last response to another gateway.
		long lost = total(usage.truth().get(ended + 1)) - total(usage.accepted().get(ended + 1));
		assertWithMessage("calls lost of window %s", ended + 1).that(lost).isAtMost(9);
	}

	/**
	 * Guards against a leader that goes on after its lease has ended while it was
	 * suspended.
	 */
	@Property(tries = 40, seed = "1")
	void leaderSuspendedPastItsLease(@ForAll long seed) {
		takeOver(seed, (leader) -> leader.suspend(7_000));
	}

	/**
	 * Guards against a leader that goes on although it cannot renew, while the other
	 * gateways still reach it.
	 */
	@Property(tries = 40, seed = "1")
	void leaderCutOffFromTheStoreOnly(@ForAll long seed) {
		takeOver(seed, (leader) -> leader.cutOff(9_000));
	}

	private static void takeOver(long seed, Consumer<LeaderFleet.Member> fault) {
		UsageFleet usage = new UsageFleet(4, new Random(seed));
		usage.run(12_000 + Math.floorMod(seed, 10) * 500, 0, 0);
		long first = usage.window();
		LeaderFleet.Member leader = usage.leader();
		fault.accept(leader);
		usage.run(7_000, 0, 0);
		assertThat(usage.leader().vm()).isNotEqualTo(leader.vm());
		usage.run(25_000, 0, 0);
		assertThat(usage.violations()).isEmpty();
		for (long window = first; window <= usage.window() - 3; window++) {
			assertWithMessage("window %s", window).that(usage.accepted().get(window)).isNotNull();
			long lost = total(usage.truth().get(window)) - total(usage.accepted().get(window));
			assertWithMessage("calls lost of window %s", window).that(lost).isIn(Range.closed(0L, 9L));
		}
	}

	/**
	 * Guards against tokens and reports that a store given back to an earlier state lets
	 * through twice while the leader changes.
	 */
	@Property(tries = 80, seed = "1")
	void storeRestoredDuringATakeover(@ForAll long seed) {
		UsageFleet usage = new UsageFleet(4, new Random(seed));
		usage.run(12_000 + Math.floorMod(seed, 10) * 500, 0, 0);
		LeaderFleet.Member leader = usage.leader();
		if (Math.floorMod(seed, 2) == 0) {
			leader.restart();
		}
		else {
			leader.suspend(7_000);
		}
		usage.run(3_000 + Math.floorMod(seed, 7) * 500, 0, 0);
		usage.fleet().restoreStore();
		usage.run(10_000, 0, 0);
		long first = usage.window();
		usage.run(25_000, 0, 0);
		assertThat(usage.violations()).isEmpty();
		for (long window = first; window <= usage.window() - 3; window++) {
			assertWithMessage("window %s", window).that(usage.accepted().get(window))
				.isEqualTo(usage.truth().get(window));
		}
	}

	private static long total(Map<String, Long> counts) {
		return counts.values().stream().mapToLong(Long::longValue).sum();
	}

}
