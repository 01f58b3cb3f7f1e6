package org.jaywood.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.feed.BootClock;
import org.jaywood.leader.LeaderElection;
import org.jaywood.leader.LeaderElection.Change;
import org.jaywood.leader.LeaderElection.Step;
import org.jaywood.leader.LeaderTask;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.leader.Lease;
import org.jaywood.leader.LeaseResponse;
import org.jaywood.leader.LeaseStore;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Json;

/**
 * Takes part in the election of the leader, and runs the leader tasks while this process
 * is the leader. The election has a thread of its own, and so has each task, so that a
 * slow call of one to the cloud API holds up neither a renewal nor another task.
 */
final class LeaderRunner {

	private static final long TICK_MILLIS = 100;

	/** Most bytes of the states of all tasks in the lease object. */
	private static final int MAX_STATE_BYTES = 256 * 1024;

	private final LeaderElection election;

	private final LeaseStore leases;

	private final List<LeaderTask> tasks;

	private final GatewayMetrics metrics;

	private final EventLog log;

	/** States handed in with the renewal that is under way. */
	private Map<String, JsonNode> sentStates = Map.of();

	/** Whether the tasks have got what they inherit in the present term. */
	private volatile boolean handedOver;

	private volatile @Nullable LeaderTerm lastTerm;

	private volatile String loggedLeader = "";

	LeaderRunner(LeaderElection election, LeaseStore leases, List<LeaderTask> tasks, GatewayMetrics metrics,
			EventLog log) {
		this.election = election;
		this.leases = leases;
		this.tasks = tasks;
		this.metrics = metrics;
		this.log = log;
		metrics.registry().gauge("leader.held", () -> () -> term(BootClock.nowMillis()).isPresent() ? 1 : 0);
		metrics.registry().gauge("leader.token", () -> () -> lastSeenToken());
	}

	/**
	 * Starts the threads.
	 */
	void start() {
		DaemonThreads.startDaemon("leader-election",
				() -> new TaskGuard("leader-election", this.log).repeat(this::step, () -> false));
		this.tasks.forEach((task) -> DaemonThreads.startDaemon("leader-" + task.name(),
				() -> new TaskGuard("leader-" + task.name(), this.log).repeat(() -> tick(task), () -> false)));
	}

	/**
	 * Returns the term of this process while it may act as the leader and its tasks have
	 * their states.
	 */
	Optional<LeaderTerm> term(long nowMillis) {
		return this.handedOver ? this.election.term(nowMillis) : Optional.empty();
	}

	/**
	 * Returns the lease as it was seen last, or null if there is none.
	 */
	@Nullable Lease lastSeen() {
		return this.election.lastSeen();
	}

	/**
	 * Takes in a token that a leader has told.
	 */
	void onTokenSeen(long token) {
		this.election.onTokenSeen(token);
	}

	/**
	 * Returns the state for the operator.
	 */
	Map<String, Object> describe(long nowMillis) {
		Map<String, Object> state = new LinkedHashMap<>();
		Lease lease = this.election.lastSeen();
		state.put("holder", (lease != null) ? lease.holder() : "unknown");
		state.put("token", lastSeenToken());
		state.put("heldHere", term(nowMillis).isPresent());
		this.tasks.forEach((task) -> state.put(task.name(), task.describe(nowMillis)));
		return state;
	}

	private long lastSeenToken() {
		Lease lease = this.election.lastSeen();
		return (lease != null) ? lease.token() : -1;
	}

	private void tick(LeaderTask task) throws InterruptedException {
		long nowMillis = BootClock.nowMillis();
		term(nowMillis).ifPresent((term) -> task.onTick(term, nowMillis));
		TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
	}

	/**
	 * Returns the next step of the election. A leader whose states cannot be saved would
	 * let its lease expire and take it again, so it resigns.
	 */
	private Step nextStep() {
		try {
			return this.election.next(this::states, BootClock.nowMillis());
		}
		catch (RuntimeException ex) {
			resign("collecting the states of the tasks failed");
			throw ex;
		}
	}

	/**
	 * Makes one step of the election.
	 */
	private void step() throws InterruptedException {
		Step step = nextStep();
		if (step instanceof Step.Pause pause) {
			TimeUnit.MILLISECONDS.sleep(Math.max(1, pause.untilMillis() - BootClock.nowMillis()));
			return;
		}
		if (this.election.term(BootClock.nowMillis()).isEmpty()) {
			endTerm("no renewal in time");
		}
		long sentMillis = BootClock.nowMillis();
		Change change;
		try {
			LeaseResponse response = execute(step);
			change = this.election.onResponse(step, response, sentMillis, BootClock.nowMillis());
		}
		catch (IOException ex) {
			this.metrics.counter("leader.request_failed").inc();
			change = this.election.onFailure(step, BootClock.nowMillis());
		}
		onChange(change);
		logLeader();
	}

	private LeaseResponse execute(Step step) throws IOException {
		return switch (step) {
			case Step.Read read -> this.leases.read(read.fresh());
			case Step.Create create -> this.leases.create(create.lease());
			case Step.Replace replace -> this.leases.replace(replace.lease(), replace.revision());
			case Step.Pause pause -> throw new IllegalStateException("a pause has no request");
		};
	}

	private void onChange(Change change) {
		long nowMillis = BootClock.nowMillis();
		switch (change) {
			case ACQUIRED -> takeOver(nowMillis);
			case RENEWED -> this.tasks.forEach((task) -> {
				JsonNode saved = this.sentStates.get(task.name());
				if (saved != null) {
					task.onStateSaved(saved, nowMillis);
				}
			});
			case ENDED -> endTerm("another leader, or the store was restored");
			case NONE -> {
			}
		}
	}

	/**
	 * Starts the tasks of a new term. If one fails, this process resigns, since a leader
	 * without all its tasks would hold the lease without doing the work.
	 */
	private void takeOver(long nowMillis) {
		this.handedOver = false;
		this.election.term(nowMillis).ifPresent((term) -> {
			this.lastTerm = term;
			this.metrics.counter("leader.elected").inc();
			this.log.log(Event.LEADER_ELECTED, "token", term.token());
		});
		try {
			this.tasks.forEach((task) -> task.onElected(this.election.handover(task.name()), nowMillis));
			this.handedOver = true;
		}
		finally {
			if (!this.handedOver) {
				resign("a task failed to take over");
			}
		}
	}

	private void resign(String reason) {
		this.election.resign(BootClock.nowMillis());
		endTerm(reason);
	}

	private void endTerm(String reason) {
		LeaderTerm term = this.lastTerm;
		this.handedOver = false;
		this.lastTerm = null;
		if (term != null) {
			this.metrics.counter("leader.ended").inc();
			this.log.log(Event.LEADER_ENDED, "token", term.token(), "reason", reason);
		}
	}

	private void logLeader() {
		Lease lease = this.election.lastSeen();
		if (lease != null) {
			String leader = lease.holder() + " " + lease.token();
			if (!leader.equals(this.loggedLeader)) {
				this.loggedLeader = leader;
				this.log.log(Event.LEADER_SEEN, "holder", lease.holder(), "token", lease.token());
			}
		}
	}

	/**
	 * Collects the states for a renewal. If they are too large together, the saved ones
	 * are kept, since a leader that cannot renew would lose its lease.
	 */
	private Map<String, JsonNode> states() {
		long nowMillis = BootClock.nowMillis();
		Map<String, JsonNode> states = new HashMap<>();
		this.tasks.forEach((task) -> {
			JsonNode state = task.state(nowMillis);
			if (state != null) {
				states.put(task.name(), state);
			}
		});
		int bytes = Json.bytes(states).length;
		if (bytes > MAX_STATE_BYTES) {
			this.metrics.counter("leader.state_too_large").inc();
			this.log.log(Event.LEADER_STATE_TOO_LARGE, "bytes", bytes, "limit", MAX_STATE_BYTES);
			states.clear();
		}
		this.sentStates = states;
		return states;
	}

}
