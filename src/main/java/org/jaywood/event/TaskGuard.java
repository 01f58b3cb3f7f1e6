package org.jaywood.event;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Keeps a task going that must run as long as its process: an unexpected error ends one
 * step, is logged as {@link Event#TASK_FAILED}, and the task goes on. An error of the
 * virtual machine, except a stack overflow, is handed to the handler of its thread as
 * well, which decides about the process.
 */
public final class TaskGuard {

	/** Pause after an error, so that a lasting one does not use up the processor. */
	private static final long RETRY_DELAY_MILLIS = 200;

	private final String task;

	private final EventLog log;

	/**
	 * Creates a guard.
	 * @param task name of the task in the log
	 * @param log log of the process
	 */
	public TaskGuard(String task, EventLog log) {
		this.task = task;
		this.log = log;
	}

	/**
	 * Runs one step, for a timer that would run no further ones after an error.
	 */
	public void run(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			onError(ex);
		}
	}

	/**
	 * Runs a task again and again until its thread is interrupted or its owner closed.
	 * @param closed whether the owner of the task is closed
	 */
	public void repeat(InterruptibleTask repeated, BooleanSupplier closed) {
		while (!closed.getAsBoolean() && !Thread.currentThread().isInterrupted()) {
			try {
				runOrPause(repeated);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private void runOrPause(InterruptibleTask repeated) throws InterruptedException {
		try {
			repeated.run();
		}
		catch (RuntimeException | Error ex) {
			onError(ex);
			TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
		}
	}

	/**
	 * Records that a step has ended with an error.
	 */
	public void onError(Throwable error) {
		try {
			this.log.log(Event.TASK_FAILED, "task", this.task, "error", error);
		}
		finally {
			if (error instanceof VirtualMachineError && !(error instanceof StackOverflowError)) {
				Thread thread = Thread.currentThread();
				thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
			}
		}
	}

	/**
	 * A task that runs until it ends or is interrupted.
	 */
	@FunctionalInterface
	public interface InterruptibleTask {

		/**
		 * Runs the task, or one step of it.
		 */
		void run() throws InterruptedException;

	}

}
