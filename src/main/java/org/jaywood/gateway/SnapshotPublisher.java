package org.jaywood.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.ServiceSnapshot;

/**
 * The published snapshots, one for each service, which agents receive. Each change of the
 * list of upstreams sends the whole list to all agents, and many entries may arrive one
 * by one. So a snapshot in which only the list has changed is published at most once in
 * an interval. The first change after the interval, a new target version and a new
 * profile are published at once. Guarded by the lock of its {@link StoreCache}.
 */
final class SnapshotPublisher {

	/**
	 * Shortest time before a snapshot is replaced by one that differs in the list only.
	 */
	static final long MIN_LIST_INTERVAL_MILLIS = 500;

	private final Map<String, Published> published = new HashMap<>();

	/**
	 * Returns the services with a published snapshot, which agents have requested.
	 */
	List<String> services() {
		return List.copyOf(this.published.keySet());
	}

	/**
	 * Returns the published snapshot of a service, or null if there is none.
	 */
	@Nullable Published get(String service) {
		return this.published.get(service);
	}

	/**
	 * Whether the published snapshot of a service lacks a change.
	 * @param changeCount number of changes of the cached objects so far
	 */
	boolean outdated(String service, long changeCount) {
		Published present = this.published.get(service);
		return present == null || present.changeCount() != changeCount;
	}

	/**
	 * Replaces the published snapshot of a service if that may be done now.
	 * @param latest the latest snapshot, or null if the service is not known
	 * @param changeCount number of changes of the cached objects that it includes
	 * @return whether it was replaced
	 */
	boolean replaceIfDue(String service, @Nullable ServiceSnapshot latest, long changeCount, long nowMillis) {
		if (latest == null) {
			return this.published.remove(service) != null;
		}
		Published present = this.published.get(service);
		if (present != null && !mayReplace(present, latest, nowMillis)) {
			return false;
		}
		this.published.put(service, new Published(latest, latest.contentHash(), changeCount, nowMillis));
		return true;
	}

	private static boolean mayReplace(Published present, ServiceSnapshot latest, long nowMillis) {
		return nowMillis - present.publishedMillis() >= MIN_LIST_INTERVAL_MILLIS
				|| !present.snapshot().profile().equals(latest.profile())
				|| !present.snapshot().target().equals(latest.target());
	}

	/**
	 * A snapshot as agents receive it.
	 *
	 * @param snapshot the snapshot
	 * @param contentHash its {@link ServiceSnapshot#contentHash}
	 * @param changeCount number of changes of the cached objects that it includes
	 * @param publishedMillis boot time at which it was published
	 */
	record Published(ServiceSnapshot snapshot, long contentHash, long changeCount, long publishedMillis) {
	}

}
