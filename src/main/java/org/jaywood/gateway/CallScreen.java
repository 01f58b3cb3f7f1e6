package org.jaywood.gateway;

import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.PartScreen;
import org.jaywood.routing.Placement;

/**
 * The screen of this gateway as seen by one call: whether the call may be sent, in view
 * of the parts of its prompt. Confined to the task of the call.
 */
final class CallScreen {

	/** Longest wait for the report that an engine has ended. */
	private static final long END_REPORT_WAIT_MILLIS = 600;

	private final PartScreen screen;

	private final Call call;

	/** Attempt that broke before its answer went on, or null. */
	private @Nullable Placement brokenPlacement;

	private long brokenMillis;

	/** Whether the call is a trial of blocked parts, which is sent once. */
	private boolean trial;

	CallScreen(PartScreen screen, Call call) {
		this.screen = screen;
		this.call = call;
	}

	/**
	 * Whether the call may not be sent because parts of its prompt crash engines.
	 */
	boolean blocked() {
		return !this.trial && this.screen.blocking(this.call.sharedParts()).isPresent();
	}

	/**
	 * Makes a call with blocked parts the trial of these parts, if one is due here.
	 */
	boolean takeTrial() {
		this.trial = this.screen.takeTrial(this.call.sharedParts());
		return this.trial;
	}

	boolean trial() {
		return this.trial;
	}

	/**
	 * Has an attempt cancelled if parts of the prompt are blocked before its answer goes
	 * on.
	 */
	void onStarted(Attempt attempt) {
		if (!this.trial) {
			this.screen.watch(attempt, this.call.sharedParts(), attempt.connection()::abort);
		}
	}

	/**
	 * Records that the upstream of an attempt survives the call.
	 */
	void onProven(Attempt attempt) {
		this.screen.unwatch(attempt);
		this.screen.onProven(this.call.sharedParts(), BootClock.nowMillis());
	}

	/**
	 * Records that an attempt has ended.
	 */
	void onEnded(Attempt attempt) {
		this.screen.unwatch(attempt);
	}

	/**
	 * Records that it is not known whether the upstream of an attempt ran the call.
	 */
	void onIndeterminate(Placement placement, Outcome outcome, AttemptProgress progress) {
		boolean unknown = outcome == Outcome.INDETERMINATE || outcome == Outcome.SILENT;
		if (!unknown || progress.proven()) {
			return;
		}
		this.brokenPlacement = placement;
		this.brokenMillis = BootClock.nowMillis();
		this.screen.onBroken(placement.upstream(), this.call.sharedParts(), progress.headReceived(), this.brokenMillis);
	}

	/**
	 * Whether the call may be sent again after an attempt broke: not if its engine has
	 * ended and the call may be the cause. Waits for the report of the engine's agent if
	 * that matters.
	 */
	boolean mayRetry(long nowMillis) {
		Placement broken = this.brokenPlacement;
		if (broken == null || this.call.sharedParts().isEmpty()) {
			return true;
		}
		this.brokenPlacement = null;
		long waitMillis = Math.min(END_REPORT_WAIT_MILLIS, this.call.remainingMillis(nowMillis));
		try {
			return this.screen.awaitMayRetry(broken.upstream(), this.call.sharedParts(), this.brokenMillis, waitMillis,
					nowMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Returns the time in milliseconds after which the call may be sent, or empty if its
	 * parts are not blocked.
	 */
	OptionalLong retryAfterMillis(long nowMillis) {
		return this.screen.retryAfterMillis(this.call.sharedParts(), nowMillis);
	}

}
