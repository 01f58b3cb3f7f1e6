package org.jaywood.store;

/**
 * State of a VM in the platform's list.
 */
public enum VmState {

	/** The VM is up. */
	LIVE,

	/** The VM will be removed soon and takes no new work. */
	LEAVING,

	/** The VM is removed. */
	GONE

}
