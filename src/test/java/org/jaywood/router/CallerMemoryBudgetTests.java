package org.jaywood.router;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against reservations beyond the budget and against aborts of callers that do
 * read.
 */
class CallerMemoryBudgetTests {

	private final List<String> abortedCallers = new CopyOnWriteArrayList<>();

	private final CallerMemoryBudget budget = new CallerMemoryBudget(100, 30_000);

	private CallerMemory openCaller(String name, int bytes) {
		CallerMemory caller = this.budget.openCaller(() -> this.abortedCallers.add(name));
		assertThat(caller.tryReserve(bytes, 0)).isTrue();
		return caller;
	}

	@Test
	void largestBlockedCallerIsAbortedFirst() {
		openCaller("reading", 50);
		openCaller("small", 10).beginWrite(0);
		openCaller("large", 30).beginWrite(0);
		CallerMemory requester = this.budget.openCaller(() -> this.abortedCallers.add("next"));
		assertThat(requester.tryReserve(20, 5_000)).isTrue();
		assertThat(this.abortedCallers).containsExactly("large");
	}

	@Test
	void reservationIsRefusedWhenNoOtherCallerIsBlocked() {
		openCaller("reading", 90);
		assertThat(this.budget.openCaller(() -> this.abortedCallers.add("next")).tryReserve(20, 5_000)).isFalse();
		assertThat(this.abortedCallers).isEmpty();
		assertThat(this.budget.reservedBytes()).isEqualTo(90);
	}

	@Test
	void callerBlockedTooLongIsAbortedWithoutPressure() {
		openCaller("stalled", 1).beginWrite(0);
		openCaller("slow", 1).beginWrite(20_000);
		this.budget.abortStalled(30_001);
		assertThat(this.abortedCallers).containsExactly("stalled");
	}

	@Property(tries = 300, seed = "1")
	void reservedBytesStayWithinTheBudgetAndReturnToZero(
			@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 60) Integer> sizes) {
		CallerMemoryBudget sharedBudget = new CallerMemoryBudget(100, 1_000);
		List<CallerMemory> callers = sizes.stream().map((size) -> {
			CallerMemory caller = sharedBudget.openCaller(() -> {
			});
			caller.tryReserve(size, 0);
			if (size % 2 == 0) {
				caller.beginWrite(-5_000);
			}
			assertThat(sharedBudget.reservedBytes()).isAtMost(100);
			return caller;
		}).toList();
		callers.forEach(CallerMemory::close);
		assertThat(sharedBudget.reservedBytes()).isEqualTo(0);
		assertThat(sharedBudget.callers()).isEqualTo(0);
	}

}
