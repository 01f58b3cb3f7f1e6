package org.jaywood.agent;

import java.util.ArrayList;
import java.util.List;

import com.google.common.collect.Range;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an engine that receives more calls than it can run while cold.
 */
class AdaptiveConcurrencyLimitTests {

	private static final int COLD_LIMIT = 3;

	private static final int MAX_CONCURRENCY = 20;

	/**
	 * The engine turns cold and warm at random times; response heads arrive late and in
	 * any order. The number of calls that it runs and accepted while cold must not exceed
	 * its cold limit.
	 */
	@Property(tries = 2_000, seed = "1")
	void coldEngineReceivesAtMostColdLimit(@ForAll @Size(max = 400) List<@IntRange(min = 0, max = 99) Integer> dice) {
		EngineModel model = new EngineModel();
		for (int die : dice) {
			model.step(die);
			assertThat(model.coldLoad()).isAtMost(COLD_LIMIT);
			assertThat(model.limit.limit()).isIn(Range.closed(1, MAX_CONCURRENCY));
		}
	}

	/**
	 * Model of an engine and its agent. A call is sent and accepted in one step; its head
	 * and its end reach the agent in later steps.
	 */
	private static final class EngineModel {

		private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();

		private final List<Call> calls = new ArrayList<>();

		private int instance = 1;

		private boolean warm = true;

		private int coldPeriod;

		private int completedCalls;

		EngineModel() {
			this.limit.setDeclaredLimits(COLD_LIMIT, MAX_CONCURRENCY);
			deliverStatus();
			deliverStatus();
		}

		void step(int die) {
			if (die < 50) {
				sendCall();
			}
			else if (die < 70) {
				deliverHead(die);
			}
			else if (die < 94) {
				completeCall(die);
			}
			else if (die < 96) {
				turnCold(false);
			}
			else if (die < 97) {
				turnCold(true);
			}
			else {
				deliverStatus();
			}
		}

		private void sendCall() {
			long awaitingHead = this.calls.stream().filter((call) -> !call.headRead).count();
			if (this.calls.size() < this.limit.limit() && awaitingHead < this.limit.awaitingHeadLimit()) {
				this.calls.add(new Call(this.limit.epoch(), this.instance, this.warm, this.coldPeriod));
			}
		}

		private void deliverHead(int die) {
			List<Call> awaitingHead = this.calls.stream().filter((call) -> !call.headRead).toList();
			if (!awaitingHead.isEmpty()) {
				Call call = awaitingHead.get(die % awaitingHead.size());
				call.headRead = true;
				this.limit.onReportedState(call.epoch, "i" + call.instance, call.warm);
			}
		}

		private void completeCall(int die) {
			List<Call> acceptedCalls = this.calls.stream().filter((call) -> call.headRead).toList();
			if (acceptedCalls.isEmpty()) {
				return;
			}
			Call call = acceptedCalls.get(die % acceptedCalls.size());
			this.calls.remove(call);
			if (call.instance != this.instance) {
				this.limit.onConnectionLost(call.epoch);
				return;
			}
			this.limit.onCompleted(call.epoch, 5);
			this.completedCalls += (!call.warm && call.coldPeriod == this.coldPeriod) ? 1 : 0;
			this.warm |= this.completedCalls >= 2;
		}

		private void turnCold(boolean newInstance) {
			this.warm = false;
			this.completedCalls = 0;
			this.coldPeriod++;
			this.instance += newInstance ? 1 : 0;
		}

		private void deliverStatus() {
			this.limit.onReportedState(this.limit.epoch(), "i" + this.instance, this.warm);
		}

		long coldLoad() {
			return this.warm ? 0 : this.calls.stream()
				.filter((call) -> call.instance == this.instance && !call.warm && call.coldPeriod == this.coldPeriod)
				.count();
		}

	}

	private static final class Call {

		private final long epoch;

		private final int instance;

		private final boolean warm;

		private final int coldPeriod;

		private boolean headRead;

		Call(long epoch, int instance, boolean warm, int period) {
			this.epoch = epoch;
			this.instance = instance;
			this.warm = warm;
			this.coldPeriod = period;
		}

	}

	@Nested
	class Increase {

		private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();

		@Test
		void requiresWarmStateAndCompletedCallsOfCurrentEpoch() {
			this.limit.setDeclaredLimits(COLD_LIMIT, MAX_CONCURRENCY);
			this.limit.onReportedState(this.limit.epoch(), "a", true);
			long epoch = this.limit.epoch();
			this.limit.onCompleted(epoch, 5);
			assertThat(this.limit.limit()).isEqualTo(COLD_LIMIT);
			this.limit.onReportedState(epoch, "a", true);
			for (int i = 0; i < 100; i++) {
				this.limit.onCompleted(epoch, 5);
			}
			assertThat(this.limit.limit()).isEqualTo(MAX_CONCURRENCY);
			this.limit.onReportedState(epoch, "a", false);
			this.limit.onCompleted(epoch, 5);
			this.limit.onReportedState(epoch, "a", true);
			assertThat(this.limit.limit()).isEqualTo(COLD_LIMIT);
		}

		@Test
		void severeTokenGapResetsLimit() {
			this.limit.setDeclaredLimits(COLD_LIMIT, MAX_CONCURRENCY);
			this.limit.onReportedState(this.limit.epoch(), "a", true);
			this.limit.onReportedState(this.limit.epoch(), "a", true);
			long epoch = this.limit.epoch();
			for (int i = 0; i < 20; i++) {
				this.limit.onCompleted(epoch, 5);
			}
			assertThat(this.limit.onTokenGap(epoch, 500)).isFalse();
			assertThat(this.limit.onTokenGap(epoch, 5_000)).isTrue();
			assertThat(this.limit.limit()).isEqualTo(COLD_LIMIT);
		}

	}

}
