package org.jaywood.cli;

import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/**
 * Handler of SIGHUP, which indicates that the settings file may have changed. Without a
 * handler it would end the process, so the handler is installed before anything is read.
 * A signal received before the action is set is remembered until then.
 */
final class ReloadSignal {

	private static @Nullable Runnable reloadAction;

	private static boolean pending;

	private ReloadSignal() {
	}

	/**
	 * Installs the handler, so that the signal does not end the process.
	 */
	static void install() {
		Signal.handle(new Signal("HUP"), (signal) -> onSignal());
	}

	/**
	 * Sets the action to run on each signal, and runs it now if a signal was received
	 * before.
	 */
	static synchronized void setAction(Runnable action) {
		reloadAction = action;
		if (pending) {
			pending = false;
			action.run();
		}
	}

	/**
	 * Runs the action, or remembers the signal until the action is set.
	 */
	static synchronized void onSignal() {
		if (reloadAction != null) {
			reloadAction.run();
		}
		else {
			pending = true;
		}
	}

}
