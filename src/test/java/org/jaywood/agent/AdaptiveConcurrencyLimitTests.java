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
 * Guards against an engine that receives more than it can take while cold.
 */
class AdaptiveConcurrencyLimitTests {

	private static final int COLD_LIMIT = 3;

	private static final int MAX_CONCURRENCY = 20;

	/**
	 * A model engine turns cold and warm at random moments, heads arrive late and in any
	 * order. The number of calls that it holds and accepted while cold stays within its
	 * limit.
	 */
	@Property(tries = 2_000, seed = "1")
	void coldEngineNeverHoldsMoreThanItsLimit(
			@ForAll @Size(max = 400) List<@IntRange(min = 0, max = 99) Integer> dice) {
		Model model = new Model();
		for (int die : dice) {
			model.step(die);
			assertThat(model.coldLoad()).isAtMost(COLD_LIMIT);
			assertThat(model.limit.limit()).isIn(Range.closed(1, MAX_CONCURRENCY));
		}
	}

	/**
	 * Engine and agent of the property. A call is sent and accepted in one step; its head
	 * and its end reach the agent in later ones.
	 */
	private static final class Model {

		private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();

		private final List<Call> calls = new ArrayList<>();

		private int instance = 1;

		private boolean warm = true;

		private int period;

		private int completed;

		Model() {
			this.limit.setDeclaredLimits(COLD_LIMIT, MAX_CONCURRENCY);
			status();
			status();
		}

		void step(int die) {
			if (die < 50) {
				send();
			}
			else if (die < 70) {
				heads(die);
			}
			else if (die < 94) {
				end(die);
			}
			else if (die < 96) {
				turnCold(false);
			}
			else if (die < 97) {
				turnCold(true);
			}
			else {
				status();
			}
		}

		private void send() {
			long unconfirmed = this.calls.stream().filter((call) -> !call.headRead).count();
			if (this.calls.size() < this.limit.limit() && unconfirmed < this.limit.unconfirmedLimit()) {
				this.calls.add(new Call(this.limit.epoch(), this.instance, this.warm, this.period));
			}
		}

		private void heads(int die) {
			List<Call> waiting = this.calls.stream().filter((call) -> !call.headRead).toList();
			if (!waiting.isEmpty()) {
				Call call = waiting.get(die % waiting.size());
				call.headRead = true;
				this.limit.onReply(call.epoch, "i" + call.instance, call.warm);
			}
		}

		private void end(int die) {
			List<Call> running = this.calls.stream().filter((call) -> call.headRead).toList();
			if (running.isEmpty()) {
				return;
			}
			Call call = running.get(die % running.size());
			this.calls.remove(call);
			if (call.instance != this.instance) {
				this.limit.onConnectionLost(call.epoch);
				return;
			}
			this.limit.onCompleted(call.epoch, 5);
			this.completed += (!call.warm && call.period == this.period) ? 1 : 0;
			this.warm |= this.completed >= 2;
		}

		private void turnCold(boolean restart) {
			this.warm = false;
			this.completed = 0;
			this.period++;
			this.instance += restart ? 1 : 0;
		}

		private void status() {
			this.limit.onReply(this.limit.epoch(), "i" + this.instance, this.warm);
		}

		long coldLoad() {
			return this.warm ? 0
					: this.calls.stream()
						.filter((call) -> call.instance == this.instance && !call.warm && call.period == this.period)
						.count();
		}

	}

	private static final class Call {

		private final long epoch;

		private final int instance;

		private final boolean warm;

		private final int period;

		private boolean headRead;

		Call(long epoch, int instance, boolean warm, int period) {
			this.epoch = epoch;
			this.instance = instance;
			this.warm = warm;
			this.period = period;
		}

	}

	@Nested
	class Rise {

		private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();

		@Test
		void needsWarmStateAndCompletedWorkOfThisEpoch() {
			this.limit.setDeclaredLimits(COLD_LIMIT, MAX_CONCURRENCY);
			this.limit.onReply(this.limit.epoch(), "a", true);
			long epoch = this.limit.epoch();
			this.limit.onCompleted(epoch, 5);
			assertThat(this.limit.limit()).isEqualTo(COLD_LIMIT);
			this.limit.onReply(epoch, "a", true);
			for (int i = 0; i < 100; i++) {
				this.limit.onCompleted(epoch, 5);
			}
			assertThat(this.limit.limit()).isEqualTo(MAX_CONCURRENCY);
			this.limit.onReply(epoch, "a", false);
			this.limit.onCompleted(epoch, 5);
			this.limit.onReply(epoch, "a", true);
			assertThat(this.limit.limit()).isEqualTo(COLD_LIMIT);
		}

		@Test
		void severeGapResets() {
			this.limit.setDeclaredLimits(COLD_LIMIT, MAX_CONCURRENCY);
			this.limit.onReply(this.limit.epoch(), "a", true);
			this.limit.onReply(this.limit.epoch(), "a", true);
			long epoch = this.limit.epoch();
			for (int i = 0; i < 20; i++) {
				this.limit.onCompleted(epoch, 5);
			}
			assertThat(this.limit.onGap(epoch, 500)).isFalse();
			assertThat(this.limit.onGap(epoch, 5_000)).isTrue();
			assertThat(this.limit.limit()).isEqualTo(COLD_LIMIT);
		}

	}

}
