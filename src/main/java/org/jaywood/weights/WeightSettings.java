package org.jaywood.weights;

import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;

/**
 * Settings of the distribution of weights.
 *
 * @param self this VM as it appears in the platform's list
 * @param storeAddress address of the weight store
 * @param storeRegion region of the weight store
 * @param stagingBytes capacity of the agent staging area in bytes
 * @param regionLinkBytesPerSecond rate limit for the total weight traffic from one region
 * to another
 * @param mode how weights are distributed
 */
public record WeightSettings(VmRecord self, Address storeAddress, String storeRegion, long stagingBytes,
		long regionLinkBytesPerSecond, WeightMode mode) {

	/** Default capacity of the agent staging area. */
	public static final long DEFAULT_STAGING_BYTES = 64L * 1024 * 1024;

	/**
	 * Default rate limit: 10 of the about 14 Mbit/s of a link. The rest is left for live
	 * requests.
	 */
	public static final long DEFAULT_REGION_LINK_BYTES_PER_SECOND = 1_250_000;

}
