package org.jaywood.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's list of VMs, which lags behind the state of the VMs.
 */
public interface VmDirectory {

	/**
	 * Waits for changes.
	 * @param afterVersion only later changes are returned; 0 returns the whole list
	 * @param waitMillis longest time until an empty page is returned
	 */
	CompletableFuture<VmPage> awaitChanges(long afterVersion, long waitMillis);

}
