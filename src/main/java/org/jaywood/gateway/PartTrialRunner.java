package org.jaywood.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.feed.BootClock;
import org.jaywood.routing.PartScreen;
import org.jaywood.routing.Trial;

/**
 * Acquires and releases the leases of trials of blocked parts. Without the store there
 * are no trials.
 */
final class PartTrialRunner {

	private final PartScreen screen;

	private final DurableTrialLeases leases;

	private final EventLog log;

	private final AtomicBoolean busy = new AtomicBoolean();

	PartTrialRunner(PartScreen screen, DurableTrialLeases leases, EventLog log) {
		this.screen = screen;
		this.leases = leases;
		this.log = log;
	}

	/**
	 * Requests what is due on a task of its own, since the store may be slow.
	 */
	void onTick() {
		boolean due = this.leases.restored() || this.screen.hasTrialWork(BootClock.nowMillis());
		if (due && this.busy.compareAndSet(false, true)) {
			Thread.ofVirtual().start(this::run);
		}
	}

	private void run() {
		try {
			writeLeasesAgain();
			this.screen.takeReleasedTrials().forEach(this::release);
			this.screen.takeDueTrials(BootClock.nowMillis()).forEach(this::acquire);
		}
		catch (RuntimeException | Error ex) {
			new TaskGuard("part-trials", this.log).onError(ex);
		}
		finally {
			this.busy.set(false);
		}
	}

	private void writeLeasesAgain() {
		try {
			this.leases.writeAgain(this::onLost);
		}
		catch (IOException ex) {
			this.log.log(Event.TASK_FAILED, "task", "part-trials", "error", ex);
		}
	}

	private void onLost(String leaseName) {
		boolean pending = this.screen.onLeaseLost(leaseName);
		this.log.log(Event.TRIAL_LEASE_LOST, "lease", leaseName, "pending", pending);
	}

	private void acquire(Trial trial) {
		try {
			boolean granted = this.leases.tryAcquire(trial.leaseName());
			this.screen.onTrialDecided(trial, granted);
			this.log.log(Event.PART_TRIAL, "parts", trial.parts(), "number", trial.number(), "granted", granted);
		}
		catch (IOException ex) {
			this.log.log(Event.TASK_FAILED, "task", "part-trials", "error", ex);
		}
	}

	private void release(Trial trial) {
		try {
			this.leases.release(trial.leaseName());
		}
		catch (IOException ex) {
			this.log.log(Event.TASK_FAILED, "task", "part-trials", "error", ex);
		}
	}

}
