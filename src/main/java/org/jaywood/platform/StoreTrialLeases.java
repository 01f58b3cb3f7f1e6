package org.jaywood.platform;

import java.io.IOException;

import org.jaywood.gateway.TrialLeases;

/**
 * Leases of trials as objects of the platform's store: whoever creates the object has the
 * lease.
 */
public final class StoreTrialLeases implements TrialLeases {

	private static final String KIND = "part-trials";

	private final MetadataStoreClient store;

	public StoreTrialLeases(MetadataStoreClient store) {
		this.store = store;
	}

	@Override
	public boolean tryAcquire(String name) throws IOException {
		return this.store.create(KIND, name);
	}

	@Override
	public void release(String name) throws IOException {
		this.store.delete(KIND, name);
	}

}
