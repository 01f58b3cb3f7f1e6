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
 * Agents with attempt ledgers as in the design page, reached by several routers.
 * Hand-overs are refused, stalled, lost or answered at random, agents restart, and
 * another request may come between any two steps.
 */
final class FakeInstallation {

	private final Random random;

	private final List<FakeLedger> agents = List.of(new FakeLedger(0), new FakeLedger(1));

	private final List<CallAttempt> stalled = new ArrayList<>();

	private final Set<String> ran = new HashSet<>();

	private final Map<String, Long> attempts = new HashMap<>();

	private Runnable between = () -> {
	};

	FakeInstallation(Random random) {
		this.random = random;
	}

	/**
	 * Sets what may happen between two steps of a request.
	 */
	void between(Runnable action) {
		this.between = action;
	}

	/**
	 * Ids of the requests that ran.
	 */
	Set<String> ran() {
		return this.ran;
	}

	void deliverStalled() {
		List.copyOf(this.stalled).forEach(this::arrive);
		this.stalled.clear();
	}

	CallExecutor router(String incarnation) {
		return new CallExecutor() {

			@Override
			public CallResult run(Call call, AnswerSink sink, Listener listener) {
				return FakeInstallation.this.run(incarnation, call, sink, listener);
			}

			@Override
			public FenceReply fence(CallAttempt handOver, long timeoutMillis) {
				return FakeInstallation.this.fence(handOver);
			}

		};
	}

	private CallResult run(String router, Call call, AnswerSink sink, CallExecutor.Listener listener) {
		for (int i = 0; i < 3; i++) {
			FakeLedger agent = this.agents.get(this.random.nextInt(this.agents.size()));
			long attempt = this.attempts.merge(router + agent.incarnation, 1L, Long::sum);
			CallAttempt handOver = new CallAttempt(router, agent.vm(), agent.incarnation, attempt, call.requestId());
			step();
			listener.beforeAttempt(handOver);
			step();
			CallResult result = handOver(handOver, sink);
			step();
			if (!(result instanceof CallResult.NotRun)) {
				return result;
			}
		}
		return new CallResult.NotRun("FULL", 0);
	}

	private CallResult handOver(CallAttempt handOver, AnswerSink sink) {
		switch (this.random.nextInt(5)) {
			case 0 -> {
				return new CallResult.NotRun("FULL", 0);
			}
			case 1 -> this.stalled.add(handOver);
			case 2 -> {
				arrive(handOver);
				agent(handOver).restart();
			}
			default -> {
				if (!arrive(handOver)) {
					return new CallResult.NotRun("FENCED", 0);
				}
			}
		}
		step();
		FenceReply reply = fence(handOver);
		return switch (reply.state()) {
			case NEVER_ADMITTED -> new CallResult.NotRun("UNREACHABLE", 0);
			case FINISHED -> {
				sink.wholeAnswer(new Frame.Head(200, "", ""), handOver.requestId().getBytes());
				yield new CallResult.Answered();
			}
			default -> new CallResult.Unknown("");
		};
	}

	private void step() {
		if (this.random.nextInt(25) == 0) {
			throw new FaultyObjectStore.RouterCrash();
		}
		if (this.random.nextInt(6) == 0) {
			this.between.run();
		}
	}

	private FakeLedger agent(CallAttempt handOver) {
		return this.agents.get(handOver.agent().address().port());
	}

	private boolean arrive(CallAttempt handOver) {
		FakeLedger agent = agent(handOver);
		String id = handOver.router() + "/" + handOver.attempt();
		if (!agent.incarnation.equals(handOver.agentIncarnation()) || agent.admitted.contains(id)
				|| handOver.attempt() <= agent.floors.getOrDefault(handOver.router(), 0L)) {
			return false;
		}
		agent.admitted.add(id);
		this.ran.add(handOver.requestId());
		return true;
	}

	private FenceReply fence(CallAttempt handOver) {
		FakeLedger agent = agent(handOver);
		if (!agent.incarnation.equals(handOver.agentIncarnation())) {
			return new FenceReply(FenceReply.State.OTHER_INCARNATION, null, null);
		}
		if (!agent.admitted.contains(handOver.router() + "/" + handOver.attempt())) {
			agent.floors.merge(handOver.router(), handOver.attempt(), Math::max);
			return new FenceReply(FenceReply.State.NEVER_ADMITTED, null, null);
		}
		return switch (this.random.nextInt(6)) {
			case 0 -> new FenceReply(FenceReply.State.RUNNING, null, null);
			case 1 -> new FenceReply(FenceReply.State.FORGOTTEN, null, null);
			default ->
				new FenceReply(FenceReply.State.FINISHED, new Frame.Head(200, "", ""), handOver.requestId().getBytes());
		};
	}

	private static final class FakeLedger {

		private final int number;

		private final Set<String> admitted = new HashSet<>();

		private final Map<String, Long> floors = new HashMap<>();

		private String incarnation;

		private int restarts;

		FakeLedger(int number) {
			this.number = number;
			this.incarnation = "agent-" + number;
		}

		VmRecord vm() {
			return new VmRecord("vm-" + this.number, "agent", "service", "r", "d",
					new Address("127.0.0.1", this.number), VmState.LIVE);
		}

		void restart() {
			this.incarnation = "agent-" + this.number + "-" + (++this.restarts);
			this.admitted.clear();
			this.floors.clear();
		}

	}

}
