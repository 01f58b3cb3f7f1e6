package org.jaywood.weights;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.jaywood.bench.Installation;

/**
 * Sends requests through a router until closed. Refusals are allowed, because six engines
 * change their weights one after the other.
 */
final class SteadyRequests implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final Installation installation;

	private final AtomicInteger answered = new AtomicInteger();

	private final CountDownLatch stop = new CountDownLatch(1);

	private final List<Thread> threads;

	SteadyRequests(Installation installation) {
		this.installation = installation;
		this.threads = IntStream.range(0, 4).mapToObj((index) -> Thread.startVirtualThread(this::run)).toList();
	}

	int answered() {
		return this.answered.get();
	}

	private void run() {
		try {
			while (!this.stop.await(20, TimeUnit.MILLISECONDS)) {
				send();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void send() throws InterruptedException {
		try {
			int status = this.installation.client()
				.post(this.installation.routers().getFirst().caller().uri("/v1/completions"),
						Map.of("model", "pool", "prompt", "hello", "max_tokens", 8), TIMEOUT)
				.statusCode();
			this.answered.addAndGet((status == 200) ? 1 : 0);
		}
		catch (IOException ex) {
			// The response may break off when a test kills an agent.
		}
	}

	@Override
	public void close() throws InterruptedException {
		this.stop.countDown();
		for (Thread thread : this.threads) {
			thread.join();
		}
	}

}
