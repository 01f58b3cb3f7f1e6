package org.jaywood.agent;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;

/**
 * Requests the status of an engine at a fixed interval, and immediately after a reset of
 * the concurrency limit. Responses to calls usually show a change first; the status
 * confirms that an engine is warm before its limit is raised, and shows a new instance of
 * an engine that has no calls.
 */
final class EngineStatusPoller implements Runnable {

	private static final long POLL_INTERVAL_MILLIS = 250;

	/**
	 * Interval while admission is open and the engine has no calls. Its next calls are
	 * bounded by the cold limit until the heads of their responses show the state, so a
	 * late status is safe.
	 */
	private static final long IDLE_POLL_INTERVAL_MILLIS = 1_000;

	private final EngineClient engine;

	private final AdmissionController admission;

	private final Consumer<String> weightsListener;

	private final Runnable resetListener;

	private final EventLog log;

	private final BlockingQueue<Boolean> pollRequests = new ArrayBlockingQueue<>(1);

	/**
	 * Creates a poller.
	 * @param engine the engine
	 * @param admission receives each status
	 * @param weightsListener receives the weights of each status
	 * @param resetListener called after a reset of the limit: the engine is cold or
	 * another instance, which may have lost its weights
	 * @param log log
	 */
	EngineStatusPoller(EngineClient engine, AdmissionController admission, Consumer<String> weightsListener,
			Runnable resetListener, EventLog log) {
		this.engine = engine;
		this.admission = admission;
		this.weightsListener = weightsListener;
		this.resetListener = resetListener;
		this.log = log;
	}

	/**
	 * Logs a reset of the limit and requests the status immediately.
	 */
	void onLimitReset(String instance) {
		this.log.log(Event.ENGINE_COLD, "instance", instance, "limit", this.admission.load().limit());
		this.pollRequests.offer(true);
		this.resetListener.run();
	}

	@Override
	public void run() {
		try {
			while (true) {
				poll();
				this.pollRequests.poll(intervalMillis(), TimeUnit.MILLISECONDS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private long intervalMillis() {
		boolean idle = this.admission.inFlight() == 0 && this.admission.orphanedCalls() == 0
				&& this.admission.load().open();
		return idle ? IDLE_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS;
	}

	private void poll() throws InterruptedException {
		long epoch = this.admission.epoch();
		int orphaned = this.admission.orphanedCalls();
		try {
			EngineStatus status = this.engine.status();
			if (this.admission.onEngineStatus(epoch, orphaned, status)) {
				onLimitReset(status.instance());
			}
			this.weightsListener.accept(status.weights());
		}
		catch (RuntimeException | Error ex) {
			this.admission.onEngineStatusFailure(epoch);
			new TaskGuard("engine status", this.log).onError(ex);
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
	}

}
