package org.jaywood.agent;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.jaywood.agent.TestRouter.Result;

/**
 * Callers that keep an agent under full load until stopped.
 */
final class ClosedLoopLoad implements AutoCloseable {

	private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();

	private final List<Result> cut = new CopyOnWriteArrayList<>();

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private volatile boolean stopped;

	ClosedLoopLoad(List<TestRouter> routers, int callersEach, int tokens) {
		routers.forEach((router) -> IntStream.range(0, callersEach)
			.forEach((number) -> this.callers.execute(() -> call(router, number, tokens))));
	}

	private void call(TestRouter router, int number, int tokens) {
		try {
			while (!this.stopped) {
				Result result = router.model("prompt " + number, tokens);
				if (result.cut()) {
					this.cut.add(result);
				}
				(result.whole() ? this.whole : this.refused).incrementAndGet();
				if (!result.whole()) {
					TimeUnit.MILLISECONDS.sleep(10);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	int whole() {
		return this.whole.get();
	}

	int notWhole() {
		return this.refused.get();
	}

	int cut() {
		return this.cut.size();
	}

	void stop() {
		this.stopped = true;
	}

	@Override
	public void close() throws InterruptedException {
		this.stopped = true;
		this.callers.shutdown();
		this.callers.awaitTermination(30, TimeUnit.SECONDS);
	}

}
