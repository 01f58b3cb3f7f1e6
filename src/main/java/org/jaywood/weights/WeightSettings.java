package org.jaywood.weights;

import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;

/**
 * Settings of the distribution of weights.
 *
 * @param self this VM as it appears in the platform's list
 * @param storeAddress address of the weight store
 * @param storeRegion region of the weight store
 * @param stagingBytes bound of the staging area
 * @param regionLinkBytesPerSecond rate that all weight traffic from one region to another
 * may take together
 * @param mode how weights spread
 */
public record WeightSettings(VmRecord self, Address storeAddress, String storeRegion, long stagingBytes,
		long regionLinkBytesPerSecond, WeightMode mode) {

	/** Default bound of the staging area. */
	public static final long DEFAULT_STAGING_BYTES = 64L * 1024 * 1024;

	/**
	 * Default rate: 10 of the about 14 Mbit/s of a link, so that live requests keep room.
	 */
	public static final long DEFAULT_REGION_LINK_BYTES_PER_SECOND = 1_250_000;

}
