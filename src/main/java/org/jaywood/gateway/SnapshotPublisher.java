package org.jaywood.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.ServiceSnapshot;

/**
 * The digests that agents get, one for each service. It answers the load of many entries
 * that arrive one by one, each of which would send the whole list to all agents: changes
 * of a list alone follow each other at an interval. A single change, a version and a
 * profile are passed on at once. Guarded by the lock of its {@link StoreCache}.
 */
final class SnapshotPublisher {

	/** Interval at which agents are told of changes of the list of upstreams. */
	static final long MIN_LIST_INTERVAL_MILLIS = 500;

	private final Map<String, Published> published = new HashMap<>();

	/**
	 * The services whose digests agents have asked for.
	 */
	List<String> services() {
		return List.copyOf(this.published.keySet());
	}

	/**
	 * The digest of a service that agents get now, or null if there is none.
	 */
	@Nullable Published get(String service) {
		return this.published.get(service);
	}

	/**
	 * Whether the digest of a service lacks a change.
	 * @param changes number of changes of the fleet so far
	 */
	boolean outdated(String service, long changes) {
		Published present = this.published.get(service);
		return present == null || present.changeCount() != changes;
	}

	/**
	 * Replaces the digest of a service if that may be done now.
	 * @param latest the digest as of now, or null if the service is not known
	 * @param changes number of changes of the fleet that it includes
	 * @return whether it was replaced
	 */
	boolean replaceIfDue(String service, @Nullable ServiceSnapshot latest, long changes, long nowMillis) {
		if (latest == null) {
			return this.published.remove(service) != null;
		}
		Published present = this.published.get(service);
		if (present != null && !mayReplace(present, latest, nowMillis)) {
			return false;
		}
		this.published.put(service, new Published(latest, latest.contentHash(), changes, nowMillis));
		return true;
	}

	private static boolean mayReplace(Published present, ServiceSnapshot latest, long nowMillis) {
		return nowMillis - present.publishedMillis() >= MIN_LIST_INTERVAL_MILLIS
				|| !present.snapshot().profile().equals(latest.profile())
				|| !present.snapshot().target().equals(latest.target());
	}

	/**
	 * A digest as agents get it.
	 *
	 * @param snapshot the digest
	 * @param contentHash its {@link ServiceSnapshot#contentHash}
	 * @param changeCount number of changes of the fleet that it includes
	 * @param publishedMillis boot time from which agents got it
	 */
	record Published(ServiceSnapshot snapshot, long contentHash, long changeCount, long publishedMillis) {
	}

}
