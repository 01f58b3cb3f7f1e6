package org.jaywood.event;

import java.util.logging.LogManager;

/**
 * Log manager whose handlers stay open until the process ends. The shutdown hook of
 * {@link LogManager} closes all handlers while a process still drains, so the events of a
 * planned stop would be lost. The handler of {@link LineFormatter} writes each record at
 * once, so that nothing has to be closed.
 */
public final class DrainLogManager extends LogManager {

	private static final String PROPERTY = "java.util.logging.manager";

	private volatile boolean held;

	/**
	 * Makes this the log manager of the process. It must run before anything is logged.
	 */
	public static void install() {
		System.setProperty(PROPERTY, DrainLogManager.class.getName());
	}

	/**
	 * Keeps the handlers from here on.
	 */
	void hold() {
		this.held = true;
	}

	@Override
	public void reset() {
		if (!this.held) {
			super.reset();
		}
	}

}
