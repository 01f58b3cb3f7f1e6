package org.jaywood.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.jaywood.bench.LoadCall.Kind;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.store.Futures;

/**
 * Generates a load of several workspaces, a few of them large, with a bounded number of
 * concurrent calls. Checks each answer and counts each call in the phase in which it was
 * due.
 */
public final class LoadGenerator implements AutoCloseable {

	private static final int WORKSPACE_COUNT = 10;

	/**
	 * Delay of a caller in a closed loop after a call that was not answered. Without it,
	 * callers send thousands of refused calls a second.
	 */
	private static final long REFUSED_RETRY_DELAY_MILLIS = 50;

	private final LoadSettings settings;

	private final LoadClient client;

	private final Map<String, PhaseFigures> phases = new LinkedHashMap<>();

	private final Semaphore callPermits;

	private final AtomicLong callNumber = new AtomicLong();

	private volatile PhaseFigures currentPhase = new PhaseFigures();

	private volatile boolean stopping;

	public LoadGenerator(LoadSettings settings) {
		this.settings = settings;
		this.client = new LoadClient(settings.timeout());
		this.callPermits = new Semaphore(settings.concurrency());
	}

	/**
	 * Adds a set of weights that answers may come from.
	 */
	public LoadGenerator allowWeights(String digest) {
		this.client.allowWeights(digest);
		return this;
	}

	/**
	 * Starts a phase: calls due from now on are counted in it.
	 */
	public synchronized void beginPhase(String name) {
		this.currentPhase = this.phases.computeIfAbsent(name, (key) -> new PhaseFigures());
	}

	/**
	 * Starts the load and its first phase.
	 */
	public LoadGenerator start(String firstPhase) {
		beginPhase(firstPhase);
		if (this.settings.ratePerSecond() > 0) {
			Thread.startVirtualThread(this::openLoop);
		}
		else {
			for (int i = 0; i < this.settings.concurrency(); i++) {
				long callerSeed = this.settings.seed() + i;
				Thread.startVirtualThread(() -> closedLoop(new Random(callerSeed)));
			}
		}
		return this;
	}

	private void openLoop() {
		Random random = new Random(this.settings.seed());
		long dueNanos = System.nanoTime();
		try {
			while (!this.stopping) {
				dueNanos += (long) (-Math.log(1 - random.nextDouble()) / this.settings.ratePerSecond() * 1e9);
				TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
				startCall(nextCall(random), dueNanos);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void startCall(LoadCall call, long dueNanos) {
		PhaseFigures figures = this.currentPhase;
		if (this.stopping) {
			return;
		}
		if (!this.callPermits.tryAcquire()) {
			figures.addSkipped();
			return;
		}
		Thread.startVirtualThread(() -> {
			try {
				makeCall(call, figures, dueNanos);
			}
			finally {
				this.callPermits.release();
			}
		});
	}

	private void closedLoop(Random random) {
		while (!this.stopping && this.callPermits.tryAcquire()) {
			boolean answered;
			try {
				answered = makeCall(nextCall(random), this.currentPhase, System.nanoTime());
			}
			finally {
				this.callPermits.release();
			}
			if (!answered) {
				Futures.pause(REFUSED_RETRY_DELAY_MILLIS);
			}
		}
	}

	/**
	 * Makes a call.
	 * @return whether it was answered
	 */
	private boolean makeCall(LoadCall call, PhaseFigures figures, long dueNanos) {
		int caller = (int) (this.callNumber.getAndIncrement() % this.settings.callers().size());
		try {
			LoadResult result = this.client.call(this.settings.callers().get(caller), call, dueNanos);
			figures.add(result);
			return result.outcome() == Outcome.ANSWERED;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private LoadCall nextCall(Random random) {
		Kind kind = (random.nextDouble() < this.settings.streamedShare()) ? Kind.STREAM : Kind.WHOLE;
		int workspace = randomWorkspace(random);
		return new LoadCall(kind, this.settings.service(), "workspace-" + workspace,
				"workspace " + workspace + " document " + random.nextInt(20) + " question " + random.nextInt(1 << 20),
				this.settings.tokens());
	}

	/**
	 * Returns a workspace at random: number 0 for half of the calls, 1 for a quarter, and
	 * so on.
	 */
	private static int randomWorkspace(Random random) {
		return Math.min(WORKSPACE_COUNT - 1, (int) (-Math.log(1 - random.nextDouble()) / Math.log(2)));
	}

	/**
	 * Returns the number of calls of all phases that ended with an outcome.
	 */
	public synchronized int count(Outcome outcome) {
		return this.phases.values().stream().mapToInt((figures) -> figures.count(outcome)).sum();
	}

	/**
	 * Returns the figures of one phase.
	 */
	public synchronized PhaseFigures figures(String name) {
		PhaseFigures figures = this.phases.get(name);
		if (figures == null) {
			throw new IllegalArgumentException("no phase '" + name + "'");
		}
		return figures;
	}

	/**
	 * Returns the figures by phase, in the order in which the phases started.
	 */
	public synchronized Map<String, PhaseFigures> phases() {
		return new LinkedHashMap<>(this.phases);
	}

	/**
	 * Stops the load and waits for running calls.
	 */
	@Override
	public void close() {
		this.stopping = true;
		try {
			if (!this.callPermits.tryAcquire(this.settings.concurrency(), this.settings.timeout().toMillis() + 5_000,
					TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException("calls still run after their time-out of " + this.settings.timeout());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
