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
 * Guards against memory beyond the budget and against failing callers that do read.
 */
class CallerMemoryBudgetTests {

	private final List<String> aborted = new CopyOnWriteArrayList<>();

	private final CallerMemoryBudget budget = new CallerMemoryBudget(100, 30_000);

	private CallerMemory holder(String name, int bytes) {
		CallerMemory holder = this.budget.open(() -> this.aborted.add(name));
		assertThat(holder.tryReserve(bytes, 0)).isTrue();
		return holder;
	}

	@Test
	void largestBlockedHolderYieldsFirst() {
		holder("reading", 50);
		holder("small", 10).beginWrite(0);
		holder("large", 30).beginWrite(0);
		CallerMemory next = this.budget.open(() -> this.aborted.add("next"));
		assertThat(next.tryReserve(20, 5_000)).isTrue();
		assertThat(this.aborted).containsExactly("large");
	}

	@Test
	void newHolderIsRefusedWhenAllOthersRead() {
		holder("reading", 90);
		assertThat(this.budget.open(() -> this.aborted.add("next")).tryReserve(20, 5_000)).isFalse();
		assertThat(this.aborted).isEmpty();
		assertThat(this.budget.heldBytes()).isEqualTo(90);
	}

	@Test
	void holderThatBlocksTooLongIsFailedWithoutPressure() {
		holder("stalled", 1).beginWrite(0);
		holder("slow", 1).beginWrite(20_000);
		this.budget.abortStalled(30_001);
		assertThat(this.aborted).containsExactly("stalled");
	}

	@Property(tries = 300, seed = "1")
	void heldBytesStayWithinTheBudgetAndReturnToZero(
			@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 60) Integer> sizes) {
		CallerMemoryBudget shared = new CallerMemoryBudget(100, 1_000);
		List<CallerMemory> holders = sizes.stream().map((size) -> {
			CallerMemory holder = shared.open(() -> {
			});
			holder.tryReserve(size, 0);
			if (size % 2 == 0) {
				holder.beginWrite(-5_000);
			}
			assertThat(shared.heldBytes()).isAtMost(100);
			return holder;
		}).toList();
		holders.forEach(CallerMemory::close);
		assertThat(shared.heldBytes()).isEqualTo(0);
		assertThat(shared.holders()).isEqualTo(0);
	}

}
