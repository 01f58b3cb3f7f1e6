package org.jaywood.gateway;

import org.junit.jupiter.api.Test;

import org.jaywood.scaling.ServiceDemand;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a demand that counts a call twice or not at all.
 */
class DemandMeterTests {

	private final DemandMeter meter = new DemandMeter();

	@Test
	void callsAreCountedByState() {
		this.meter.take("pool", 1_000);
		for (int call = 0; call < 5; call++) {
			this.meter.onArrival("pool");
		}
		for (int call = 0; call < 3; call++) {
			this.meter.onAttemptBegin("pool");
		}
		this.meter.onAttemptEnd("pool", 400);
		this.meter.onEnd("pool");
		this.meter.onRefusal("pool", "no-place");
		this.meter.onRefusal("pool", "blocked-parts");
		this.meter.onEnd("pool");
		assertThat(this.meter.take("pool", 1_000)).isEqualTo(new ServiceDemand("pool", 2, 1, 5, 1, 400));
		assertThat(this.meter.take("pool", 1_000)).isEqualTo(new ServiceDemand("pool", 2, 1, 0, 0, 400));
	}

	/**
	 * Guards against calls that began before a service was scaled: their ends would leave
	 * the number of running calls too low for good, and all arrivals since the start
	 * would count as those of one second.
	 */
	@Test
	void callsBeforeTheFirstReadingCountAsRunningAndNotAsArrivals() {
		this.meter.onArrival("pool");
		this.meter.onAttemptBegin("pool");
		assertThat(this.meter.take("pool", 1_000)).isEqualTo(new ServiceDemand("pool", 1, 0, 0, 0, 0));
		this.meter.onAttemptEnd("pool", 400);
		this.meter.onEnd("pool");
		this.meter.onArrival("pool");
		assertThat(this.meter.take("pool", 1_000)).isEqualTo(new ServiceDemand("pool", 0, 1, 1, 0, 400));
	}

}
