package org.jaywood.peer;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ConfigurationHolder;
import org.jaywood.config.ConfigurationRepository;
import org.jaywood.store.Backoff;
import org.jaywood.store.Futures;
import org.jaywood.store.HttpPlatform;
import org.jaywood.store.ObjectPage;
import org.jaywood.store.PlatformException;
import org.jaywood.store.VmPage;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireException;

/**
 * Keeps configuration and membership current from the platform. Failed calls are repeated
 * with increasing backoff.
 */
final class PlatformWatch {

	private static final String SOURCE = "platform";

	private static final long CONFIGURATION_POLL_MILLIS = 10_000;

	/**
	 * Each long poll counts as one call, so a longer wait means fewer calls to the
	 * platform.
	 */
	private static final long VMS_POLL_MILLIS = 20_000;

	/** At the planned size, 1,970 processes then make at most 44 reads per second. */
	private static final long COMPARE_INTERVAL_MILLIS = 30_000;

	private static final long ELECTION_INTERVAL_MILLIS = 1_000;

	private static final long FIRST_BACKOFF_MILLIS = 200;

	/**
	 * Bounds the load on a recovering platform and the delay until a process sees the
	 * next configuration.
	 */
	private static final long MAX_BACKOFF_MILLIS = 3_000;

	private final HttpPlatform platform;

	private final ConfigurationHolder configuration;

	private final Membership membership;

	private final PlatformContact contact;

	private final BooleanSupplier isWatcher;

	PlatformWatch(HttpPlatform platform, ConfigurationHolder configuration, Membership membership,
			PlatformContact contact, BooleanSupplier isWatcher) {
		this.platform = platform;
		this.configuration = configuration;
		this.membership = membership;
		this.contact = contact;
		this.isWatcher = isWatcher;
	}

	/**
	 * Reads the list of VMs and the configuration once.
	 */
	void readOnce() {
		try {
			this.membership.merge(Futures.await(this.platform.awaitChanges(0, 0)));
			new ConfigurationRepository(this.platform).current().ifPresent(this::adoptIfNewer);
			this.contact.onAnswer(System.currentTimeMillis());
		}
		catch (PlatformException | WireException ex) {
			this.contact.onFailure(ex, System.currentTimeMillis());
			throw ex;
		}
	}

	/**
	 * Watches the configuration while this process is a watcher, until interrupted.
	 */
	void watchConfiguration() {
		repeatWithBackoff(new Step() {
			private long seenVersion;

			@Override
			public void run() {
				if (!PlatformWatch.this.isWatcher.getAsBoolean()) {
					this.seenVersion = 0;
					Futures.pause(ELECTION_INTERVAL_MILLIS);
					return;
				}
				this.seenVersion = nextConfiguration(this.seenVersion);
			}
		});
	}

	private long nextConfiguration(long seenVersion) {
		ObjectPage page = Futures
			.await(this.platform.watch(ConfigurationRepository.KIND, seenVersion, CONFIGURATION_POLL_MILLIS));
		page.objects()
			.stream()
			.filter((object) -> object.name().equals(ConfigurationRepository.NAME) && !object.deleted())
			.map((object) -> Json.read(object.value(), AppliedConfiguration.class))
			.forEach(this::adoptIfNewer);
		this.contact.onAnswer(System.currentTimeMillis());
		return page.version();
	}

	private void adoptIfNewer(AppliedConfiguration received) {
		this.configuration.adoptIfNewer(received, SOURCE);
	}

	/**
	 * Keeps the list of VMs current, until interrupted. Watchers send long polls for its
	 * changes to the platform. Other processes receive changes from peers and compare
	 * their list with the platform at long intervals, because long polls of all processes
	 * would use up the platform's read rate at each change.
	 */
	void watchVms() {
		repeatWithBackoff(new Step() {
			private long lastComparisonMillis = System.currentTimeMillis();

			@Override
			public void run() {
				long nowMillis = System.currentTimeMillis();
				if (PlatformWatch.this.isWatcher.getAsBoolean()) {
					readChanges(VMS_POLL_MILLIS);
				}
				else if (nowMillis - this.lastComparisonMillis < COMPARE_INTERVAL_MILLIS
						+ ThreadLocalRandom.current().nextLong(COMPARE_INTERVAL_MILLIS)) {
					Futures.pause(ELECTION_INTERVAL_MILLIS);
				}
				else {
					readChanges(0);
					this.lastComparisonMillis = nowMillis;
				}
			}
		});
	}

	private void readChanges(long waitMillis) {
		VmPage page = Futures.await(this.platform.awaitChanges(this.membership.version(), waitMillis));
		this.contact.onAnswer(System.currentTimeMillis());
		if (page.version() < this.membership.version()) {
			page = Futures.await(this.platform.awaitChanges(0, 0));
		}
		this.membership.merge(page);
	}

	private void repeatWithBackoff(Step step) {
		Backoff backoff = new Backoff(FIRST_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
		while (!Thread.currentThread().isInterrupted()) {
			try {
				step.run();
				backoff.reset();
			}
			catch (RuntimeException ex) {
				this.contact.onFailure(ex, System.currentTimeMillis());
				Futures.pause(backoff.nextDelayMillis());
			}
		}
	}

	/**
	 * One iteration of a watch.
	 */
	@FunctionalInterface
	private interface Step {

		void run();

	}

}
