package org.jaywood.cli;

import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/**
 * SIGHUP, which says that the settings file may have changed. Without a handler it would
 * end the process, so it is handled before anything is read; one that comes before the
 * file is watched is passed on then.
 */
final class ReloadSignal {

	private static @Nullable Runnable reloadAction;

	private static boolean pending;

	private ReloadSignal() {
	}

	/**
	 * Keeps the signal from ending the process.
	 */
	static void install() {
		Signal.handle(new Signal("HUP"), (signal) -> onSignal());
	}

	/**
	 * Sets what is done on each signal, and does it at once if one came before.
	 */
	static synchronized void setAction(Runnable action) {
		reloadAction = action;
		if (pending) {
			pending = false;
			action.run();
		}
	}

	/**
	 * Does what the signal asks for, or keeps it until it can be done.
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
