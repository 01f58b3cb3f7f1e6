package org.jaywood.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;

/**
 * The configuration in force at one process. Its generation never goes down, whatever the
 * order in which the platform and peers offer theirs.
 */
public final class ConfigurationView {

	private final EventLog log;

	private final List<Consumer<AppliedConfiguration>> listeners = new CopyOnWriteArrayList<>();

	private volatile AppliedConfiguration current = AppliedConfiguration.NONE;

	public ConfigurationView(EventLog log) {
		this.log = log;
	}

	public AppliedConfiguration current() {
		return this.current;
	}

	public Deployment deployment() {
		return this.current.deployment();
	}

	/**
	 * Registers a listener that is called after each change of the configuration.
	 */
	public void onChange(Consumer<AppliedConfiguration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Takes an offered configuration into force if it is newer.
	 * @param offered the configuration
	 * @param source where it comes from, for the log
	 * @return whether it is now in force for the first time
	 */
	public boolean offer(AppliedConfiguration offered, String source) {
		synchronized (this) {
			if (offered.generation() <= this.current.generation()) {
				return false;
			}
			this.current = offered;
		}
		this.log.log(Event.CONFIGURATION_IN_FORCE, "generation", offered.generation(), "source", source);
		this.listeners.forEach((listener) -> listener.accept(offered));
		return true;
	}

}
