package org.jaywood.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;
import org.jaywood.wire.FenceReply;
import org.jaywood.wire.Frame;

/**
 * Simulated agents that record admitted and fenced attempts, used by several routers.
 * Attempts are refused, delayed, lost or answered at random, agents restart, and another
 * request may run between any two steps.
 */
final class FakeInstallation {

	private final Random random;

	private final List<SimulatedAgent> agents = List.of(new SimulatedAgent(0), new SimulatedAgent(1));

	private final List<CallAttempt> delayedAttempts = new ArrayList<>();

	private final Set<String> requestsRun = new HashSet<>();

	private final Map<String, Long> attemptNumbers = new HashMap<>();

	private Runnable interleavedAction = () -> {
	};

	FakeInstallation(Random random) {
		this.random = random;
	}

	/**
	 * Sets the action that may run between two steps of a request.
	 */
	void setInterleavedAction(Runnable action) {
		this.interleavedAction = action;
	}

	/**
	 * Returns the ids of the requests that ran.
	 */
	Set<String> requestsRun() {
		return this.requestsRun;
	}

	void deliverDelayed() {
		List.copyOf(this.delayedAttempts).forEach(this::admit);
		this.delayedAttempts.clear();
	}

	CallExecutor router(String incarnation) {
		return new CallExecutor() {

			@Override
			public CallResult run(Call call, AnswerSink sink, Listener listener) {
				return FakeInstallation.this.run(incarnation, call, sink, listener);
			}

			@Override
			public FenceReply fence(CallAttempt attempt, long timeoutMillis) {
				return FakeInstallation.this.fence(attempt);
			}

		};
	}

	private CallResult run(String router, Call call, AnswerSink sink, CallExecutor.Listener listener) {
		for (int i = 0; i < 3; i++) {
			SimulatedAgent agent = this.agents.get(this.random.nextInt(this.agents.size()));
			long attemptNumber = this.attemptNumbers.merge(router + agent.incarnation, 1L, Long::sum);
			CallAttempt attempt = new CallAttempt(router, agent.vm(), agent.incarnation, attemptNumber,
					call.requestId());
			crashOrInterleave();
			listener.beforeAttempt(attempt);
			crashOrInterleave();
			CallResult result = send(attempt, sink);
			crashOrInterleave();
			if (!(result instanceof CallResult.NotRun)) {
				return result;
			}
		}
		return new CallResult.NotRun("FULL", 0);
	}

	private CallResult send(CallAttempt attempt, AnswerSink sink) {
		switch (this.random.nextInt(5)) {
			case 0 -> {
				return new CallResult.NotRun("FULL", 0);
			}
			case 1 -> this.delayedAttempts.add(attempt);
			case 2 -> {
				admit(attempt);
				agent(attempt).restart();
			}
			default -> {
				if (!admit(attempt)) {
					return new CallResult.NotRun("FENCED", 0);
				}
			}
		}
		crashOrInterleave();
		FenceReply reply = fence(attempt);
		return switch (reply.state()) {
			case NEVER_ADMITTED -> new CallResult.NotRun("UNREACHABLE", 0);
			case FINISHED -> {
				sink.completeAnswer(new Frame.Head(200, "", ""), attempt.requestId().getBytes());
				yield new CallResult.Answered();
			}
			default -> new CallResult.Unknown("");
		};
	}

	private void crashOrInterleave() {
		if (this.random.nextInt(25) == 0) {
			throw new FaultyObjectStore.RouterCrash();
		}
		if (this.random.nextInt(6) == 0) {
			this.interleavedAction.run();
		}
	}

	private SimulatedAgent agent(CallAttempt attempt) {
		return this.agents.get(attempt.agent().address().port());
	}

	private boolean admit(CallAttempt attempt) {
		SimulatedAgent agent = agent(attempt);
		String id = attempt.router() + "/" + attempt.attempt();
		if (!agent.incarnation.equals(attempt.agentIncarnation()) || agent.admittedAttempts.contains(id)
				|| attempt.attempt() <= agent.fencedAttempts.getOrDefault(attempt.router(), 0L)) {
			return false;
		}
		agent.admittedAttempts.add(id);
		this.requestsRun.add(attempt.requestId());
		return true;
	}

	private FenceReply fence(CallAttempt attempt) {
		SimulatedAgent agent = agent(attempt);
		if (!agent.incarnation.equals(attempt.agentIncarnation())) {
			return new FenceReply(FenceReply.State.OTHER_INCARNATION, null, null);
		}
		if (!agent.admittedAttempts.contains(attempt.router() + "/" + attempt.attempt())) {
			agent.fencedAttempts.merge(attempt.router(), attempt.attempt(), Math::max);
			return new FenceReply(FenceReply.State.NEVER_ADMITTED, null, null);
		}
		return switch (this.random.nextInt(6)) {
			case 0 -> new FenceReply(FenceReply.State.RUNNING, null, null);
			case 1 -> new FenceReply(FenceReply.State.FORGOTTEN, null, null);
			default ->
				new FenceReply(FenceReply.State.FINISHED, new Frame.Head(200, "", ""), attempt.requestId().getBytes());
		};
	}

	private static final class SimulatedAgent {

		private final int number;

		private final Set<String> admittedAttempts = new HashSet<>();

		private final Map<String, Long> fencedAttempts = new HashMap<>();

		private String incarnation;

		private int restarts;

		SimulatedAgent(int number) {
			this.number = number;
			this.incarnation = "agent-" + number;
		}

		VmRecord vm() {
			return new VmRecord("vm-" + this.number, "agent", "service", "r", "d",
					new Address("127.0.0.1", this.number), VmState.LIVE);
		}

		void restart() {
			this.incarnation = "agent-" + this.number + "-" + (++this.restarts);
			this.admittedAttempts.clear();
			this.fencedAttempts.clear();
		}

	}

}
