package org.jaywood.leader;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.leader.LeaderElection.Change;
import org.jaywood.leader.LeaderElection.Step;
import org.jaywood.wire.Address;

/**
 * Some processes that elect a leader over a faulty store, in steps of 20 ms. Processes
 * are suspended, cut off from the store and killed at random.
 */
public final class LeaderFleet {

	private static final long STEP_MILLIS = 20;

	private static final long TIMEOUT_MILLIS = 700;

	private static final LeaseTiming TIMING = LeaseTiming.of(3_000);

	private final Random random;

	private final FaultyLeaseStore store;

	private final List<Member> members = new ArrayList<>();

	private long nowMillis = 100_000;

	/**
	 * Creates a fleet.
	 * @param tasks creates the task of each process
	 */
	public LeaderFleet(int size, Random random, Function<Member, LeaderTask> tasks) {
		this.random = random;
		this.store = new FaultyLeaseStore(random);
		for (int number = 0; number < size; number++) {
			this.members.add(new Member("vm-" + number, tasks));
		}
	}

	public long nowMillis() {
		return this.nowMillis;
	}

	public List<Member> members() {
		return this.members;
	}

	/**
	 * Runs the fleet for a time.
	 * @param faultsPerSecond suspensions, partitions, kills and restores in a second
	 */
	public void run(long millis, double faultsPerSecond) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += STEP_MILLIS;
			if (this.random.nextDouble() < faultsPerSecond * STEP_MILLIS / 1_000) {
				addFault();
			}
			this.store.tick(this.nowMillis);
			this.members.forEach((member) -> member.step((faultsPerSecond > 0) ? 0.2 : 0));
		}
	}

	private void addFault() {
		Member member = this.members.get(this.random.nextInt(this.members.size()));
		long untilMillis = this.nowMillis + this.random.nextLong(200, 7_000);
		switch (this.random.nextInt(8)) {
			case 0, 1, 2 -> member.suspendedUntilMillis = untilMillis;
			case 3, 4 -> member.cutOffUntilMillis = untilMillis;
			case 5 -> member.start();
			case 6 -> this.members.forEach((each) -> each.cutOffUntilMillis = untilMillis);
			default -> this.store.restore(this.nowMillis);
		}
	}

	/**
	 * Restores the store from a copy.
	 */
	public void restoreStore() {
		this.store.restore(this.nowMillis);
	}

	/**
	 * Ends all suspensions and partitions.
	 */
	public void heal() {
		this.members.forEach((member) -> {
			member.suspendedUntilMillis = 0;
			member.cutOffUntilMillis = 0;
		});
	}

	/**
	 * A process, whose boot clock differs from that of the others.
	 */
	public final class Member {

		private final String vm;

		private final Function<Member, LeaderTask> tasks;

		private final long clockOffsetMillis;

		private LeaderElection election;

		private LeaderTask task;

		private String process = "";

		private int starts;

		private boolean handedOver;

		private long suspendedUntilMillis;

		private long cutOffUntilMillis;

		private @Nullable Request request;

		private Map<String, JsonNode> sentStates = Map.of();

		private Member(String vm, Function<Member, LeaderTask> tasks) {
			this.vm = vm;
			this.tasks = tasks;
			this.clockOffsetMillis = LeaderFleet.this.random.nextLong(1_000_000);
			start();
		}

		/**
		 * Kills the process and starts another one on its VM.
		 */
		public void restart() {
			start();
		}

		/**
		 * Suspends the process for a time.
		 */
		public void suspend(long millis) {
			this.suspendedUntilMillis = LeaderFleet.this.nowMillis + millis;
		}

		/**
		 * Cuts the process off from the store for a time.
		 */
		public void cutOff(long millis) {
			this.cutOffUntilMillis = LeaderFleet.this.nowMillis + millis;
		}

		private void start() {
			this.process = this.vm + "/" + this.starts++;
			this.election = new LeaderElection(this.vm, new Address("10.0.0.1", 1), this.process, TIMING,
					LeaderFleet.this.random);
			this.task = this.tasks.apply(this);
			this.request = null;
			this.handedOver = false;
		}

		public String process() {
			return this.process;
		}

		public String vm() {
			return this.vm;
		}

		public LeaderTask task() {
			return this.task;
		}

		/**
		 * Returns the time of this process's boot clock.
		 */
		public long localMillis() {
			return LeaderFleet.this.nowMillis + this.clockOffsetMillis;
		}

		public long clockOffsetMillis() {
			return this.clockOffsetMillis;
		}

		public boolean suspended() {
			return LeaderFleet.this.nowMillis < this.suspendedUntilMillis;
		}

		public Optional<LeaderTerm> term() {
			return this.handedOver ? this.election.term(localMillis()) : Optional.empty();
		}

		private void step(double faultShare) {
			Request running = this.request;
			if (running != null && LeaderFleet.this.nowMillis >= running.executedMillis) {
				running.execute(faultShare, LeaderFleet.this.nowMillis < this.cutOffUntilMillis);
			}
			if (suspended()) {
				return;
			}
			term().ifPresent((term) -> this.task.onTick(term, localMillis()));
			if (running != null) {
				if (LeaderFleet.this.nowMillis >= running.endMillis) {
					this.request = null;
					finish(running);
				}
				return;
			}
			Step next = this.election.next(this::states, localMillis());
			if (!(next instanceof Step.Pause)) {
				if (this.election.term(localMillis()).isEmpty()) {
					this.handedOver = false;
				}
				this.request = new Request(next, localMillis());
			}
		}

		private void finish(Request done) {
			LeaseResponse response = done.response;
			Change change = (response != null)
					? this.election.onResponse(done.step, response, done.sentMillis, localMillis())
					: this.election.onFailure(done.step, localMillis());
			switch (change) {
				case ACQUIRED -> {
					this.task.onElected(this.election.handover(this.task.name()), localMillis());
					this.handedOver = true;
				}
				case RENEWED ->
					this.sentStates.values().forEach((state) -> this.task.onStateSaved(state, localMillis()));
				case ENDED -> this.handedOver = false;
				case NONE -> {
				}
			}
		}

		private Map<String, JsonNode> states() {
			this.sentStates = new HashMap<>();
			JsonNode state = this.task.state(localMillis());
			if (state != null) {
				this.sentStates.put(this.task.name(), state);
			}
			return this.sentStates;
		}

	}

	/**
	 * Request that is executed some time after it was sent and answered some time later.
	 */
	private final class Request {

		private final Step step;

		private final long sentMillis;

		private final long executedMillis;

		private long endMillis;

		private boolean executed;

		private @Nullable LeaseResponse response;

		private Request(Step step, long sentMillis) {
			this.step = step;
			this.sentMillis = sentMillis;
			this.executedMillis = LeaderFleet.this.nowMillis + delayMillis();
			this.endMillis = this.executedMillis + delayMillis();
		}

		private long delayMillis() {
			boolean slow = LeaderFleet.this.random.nextInt(10) == 0;
			return LeaderFleet.this.random.nextLong(slow ? 300 : 40);
		}

		private void execute(double faultShare, boolean cutOff) {
			if (this.executed) {
				return;
			}
			this.executed = true;
			try {
				if (cutOff) {
					throw new IOException("cut off");
				}
				this.response = LeaderFleet.this.store.execute(this.step, faultShare, LeaderFleet.this.nowMillis);
			}
			catch (IOException ex) {
				this.endMillis = this.executedMillis + TIMEOUT_MILLIS;
			}
		}

	}

}
