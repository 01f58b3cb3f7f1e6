package org.jaywood.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.leader.Handover;
import org.jaywood.leader.LeaderElection;
import org.jaywood.leader.LeaderTask;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.leader.Lease;
import org.jaywood.leader.LeaseResponse;
import org.jaywood.leader.LeaseStore;
import org.jaywood.leader.LeaseTiming;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a leader that renews its lease although its tasks do not run.
 */
class LeaderRunnerTests {

	private static final LeaseTiming TIMING = new LeaseTiming(600, 100, 200, 50, 50, 100);

	private final LeaseStore store = new MemoryLeaseStore();

	private LeaderRunner start(String vm, LeaderTask task) {
		LeaderElection election = new LeaderElection(vm, new Address("127.0.0.1", 1), vm, TIMING, new Random(1));
		LeaderRunner runner = new LeaderRunner(election, this.store, List.of(task), new GatewayMetrics(),
				new EventLog(vm));
		runner.start();
		return runner;
	}

	@Test
	void anotherProcessTakesTheLeaseOfALeaderWhoseTaskFailsToTakeOver() {
		AtomicBoolean elected = new AtomicBoolean();
		LeaderRunner failing = start("vm-1", new TestTask(() -> {
			elected.set(true);
			throw new IllegalStateException("unreadable state");
		}));
		Awaitility.await().atMost(Duration.ofSeconds(10)).untilTrue(elected);
		LeaderRunner sound = start("vm-2", new TestTask(() -> {
		}));
		Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> sound.term(BootClock.nowMillis()).isPresent());
		assertThat(failing.term(BootClock.nowMillis())).isEmpty();
	}

	private record TestTask(Runnable election) implements LeaderTask {

		@Override
		public String name() {
			return "test";
		}

		@Override
		public void onElected(Handover handover, long nowMillis) {
			this.election.run();
		}

		@Override
		public void onTick(LeaderTerm term, long nowMillis) {
		}

	}

	private static final class MemoryLeaseStore implements LeaseStore {

		private @Nullable Lease lease;

		private long revision;

		@Override
		public synchronized LeaseResponse read(boolean fresh) {
			Lease current = this.lease;
			return (current != null) ? new LeaseResponse.Found(0, this.revision, current)
					: new LeaseResponse.Missing(0);
		}

		@Override
		public synchronized LeaseResponse create(Lease created) {
			return (this.lease != null) ? new LeaseResponse.Conflict(0, null) : write(created);
		}

		@Override
		public synchronized LeaseResponse replace(Lease replaced, long expected) {
			return (expected != this.revision) ? new LeaseResponse.Conflict(0, null) : write(replaced);
		}

		private LeaseResponse write(Lease latest) {
			this.lease = latest;
			return new LeaseResponse.Written(0, ++this.revision);
		}

	}

}
