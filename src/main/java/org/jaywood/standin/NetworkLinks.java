package org.jaywood.standin;

import java.util.concurrent.TimeUnit;

/**
 * Delays and rates between data centres.
 *
 * @param dataCentreDelayMicros one-way delay between data centres of a region
 * @param regionDelayMicros one-way delay between regions
 * @param regionBytesPerSecond rate between two regions in each direction, 0 for unlimited
 */
record NetworkLinks(long dataCentreDelayMicros, long regionDelayMicros, long regionBytesPerSecond) {

	static final NetworkLinks NONE = new NetworkLinks(0, 0, 0);

	long delayNanos(NetworkVm from, NetworkVm to) {
		if (from.region().isEmpty() || to.region().isEmpty() || from.dataCentre().equals(to.dataCentre())) {
			return 0;
		}
		return TimeUnit.MICROSECONDS
			.toNanos(from.region().equals(to.region()) ? this.dataCentreDelayMicros : this.regionDelayMicros);
	}

}
