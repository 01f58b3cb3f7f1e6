package org.jaywood.config;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;

/**
 * Holder of the configuration in force at one process. Its generation never decreases, in
 * whatever order the platform and peers offer configurations.
 */
public final class ConfigurationHolder {

	/**
	 * Bound on the number of remembered sources, because peers are replaced over time.
	 */
	private static final int MAX_OLDER_SOURCES = 256;

	private final EventLog log;

	private final List<Consumer<AppliedConfiguration>> listeners = new CopyOnWriteArrayList<>();

	private final Set<String> loggedOlderSources = ConcurrentHashMap.newKeySet();

	private volatile AppliedConfiguration current = AppliedConfiguration.NONE;

	public ConfigurationHolder(EventLog log) {
		this.log = log;
	}

	public AppliedConfiguration current() {
		return this.current;
	}

	public Deployment deployment() {
		return this.current.deployment();
	}

	/**
	 * Registers a listener that is called after each change of the configuration, one
	 * change at a time and in the order of generations. A listener must not block.
	 */
	public void onChange(Consumer<AppliedConfiguration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Adopts an offered configuration if its generation is higher than the current one.
	 * @param offered the configuration
	 * @param source name of the platform or peer that offered it, for the log
	 * @return whether it was adopted
	 */
	public synchronized boolean adoptIfNewer(AppliedConfiguration offered, String source) {
		if (offered.generation() <= this.current.generation()) {
			logOlderSourceOnce(offered, source);
			return false;
		}
		this.current = offered;
		this.loggedOlderSources.remove(source);
		this.log.log(Event.CONFIGURATION_IN_FORCE, "generation", offered.generation(), "source", source);
		this.listeners.forEach((listener) -> listener.accept(offered));
		return true;
	}

	/**
	 * Logs that a source offered an older configuration. Further ones of the same source
	 * are not logged until it has offered one that is not older.
	 */
	private void logOlderSourceOnce(AppliedConfiguration offered, String source) {
		if (offered.generation() == this.current.generation()) {
			this.loggedOlderSources.remove(source);
		}
		else if (this.loggedOlderSources.size() < MAX_OLDER_SOURCES && this.loggedOlderSources.add(source)) {
			this.log.log(Event.CONFIGURATION_OLDER_IGNORED, "source", source, "offered", offered.generation(),
					"generation", this.current.generation());
		}
	}

}
