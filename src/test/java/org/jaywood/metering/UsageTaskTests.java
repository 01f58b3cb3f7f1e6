package org.jaywood.metering;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.Handover;
import org.jaywood.leader.LeaderTerm;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a report that is sent again right behind a slow failure, and against
 * responses to gateways that are larger than these accept.
 */
class UsageTaskTests {

	private static final LeaderTerm TERM = new LeaderTerm("vm", 1, Long.MAX_VALUE);

	private static final UsageWindows WINDOWS = new UsageWindows(5_000, 10_000);

	/** Time of the boot clock, which equals the true time here. */
	private long nowMillis = 1_700_000_000_000L;

	private final List<Long> sentMillis = new ArrayList<>();

	private final UsageCounter counter = new UsageCounter(WINDOWS);

	private final UsageTask task = new UsageTask(WINDOWS, new TrueTime(this.nowMillis, this.nowMillis),
			(term, report) -> {
				this.sentMillis.add(this.nowMillis);
				this.nowMillis += 1_000;
				return new CloudResponse.Unknown("no response");
			}, new EmptyCountStore(), "process", this.counter, () -> this.nowMillis, new EventLog("test"));

	@Test
	void pauseAfterAFailureBeginsWithTheResponse() {
		this.task.onElected(new Handover(TERM, null, false, this.nowMillis), this.nowMillis);
		while (this.sentMillis.size() < 2) {
			this.task.onTick(TERM, this.nowMillis);
			this.task.onStateSaved(this.task.state(this.nowMillis), this.nowMillis);
			this.nowMillis += 10;
		}
		assertThat(this.sentMillis.get(1) - this.sentMillis.get(0)).isAtLeast(1_250L);
	}

	@Test
	void responseHasTheCountsOfTheLeaderUnlessTheyAreTooLarge() {
		this.task.onElected(new Handover(TERM, null, false, this.nowMillis), this.nowMillis);
		UsageMessage message = new UsageMessage("other", Map.of(), null);
		this.counter.record("a", this.nowMillis);
		assertThat(this.task.onMessage(message, TERM, this.nowMillis).leader())
			.isEqualTo(new ProcessCounts("process", this.counter.counts()));
		for (int number = 0; number < 1_500; number++) {
			this.counter.record("workspace-" + number, this.nowMillis);
		}
		assertThat(this.task.onMessage(message, TERM, this.nowMillis).leader()).isNull();
	}

	private static final class EmptyCountStore implements UsageCountStore {

		@Override
		public Stored readOwn() {
			return new Stored(List.of(), NO_REVISION);
		}

		@Override
		public long write(List<ProcessCounts> counts, long revision) {
			return revision + 1;
		}

		@Override
		public List<ProcessCounts> readAll() {
			return List.of();
		}

	}

}
