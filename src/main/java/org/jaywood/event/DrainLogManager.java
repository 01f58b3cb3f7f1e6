package org.jaywood.event;

import java.util.logging.LogManager;

/**
 * Log manager whose handlers stay open until the process ends. The shutdown hook of
 * {@link LogManager} closes all handlers while a process still drains, so the events of a
 * graceful shutdown would be lost. The handler of {@link LineFormatter} writes each
 * record at once, so nothing has to be closed.
 */
public final class DrainLogManager extends LogManager {

	private volatile boolean keepOpen;

	/**
	 * Keeps the handlers open from now on.
	 */
	void keepHandlersOpen() {
		this.keepOpen = true;
	}

	@Override
	public void reset() {
		if (!this.keepOpen) {
			super.reset();
		}
	}

}
