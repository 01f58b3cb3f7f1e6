package org.jaywood.platform;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a lease that two gateways hold, or that is taken as granted while the
 * store does not answer.
 */
class StoreTrialLeasesTests {

	private final FakeMetadataStore store = new FakeMetadataStore(new Address("127.0.0.1", 0), new EventLog("store"));

	private final StoreTrialLeases first = leases();

	private final StoreTrialLeases second = leases();

	private StoreTrialLeases leases() {
		return new StoreTrialLeases(new MetadataStoreClient(this.store.address()));
	}

	@AfterEach
	void close() {
		this.store.close();
	}

	@Test
	void leaseIsGrantedToOneGateway() throws IOException {
		assertThat(this.first.tryAcquire("lease")).isTrue();
		assertThat(this.second.tryAcquire("lease")).isFalse();
		assertThat(this.first.tryAcquire("lease")).isFalse();
	}

	@Test
	void releasedLeaseIsGrantedAgain() throws IOException {
		this.first.tryAcquire("lease");
		this.first.release("lease");
		this.first.release("lease");
		assertThat(this.second.tryAcquire("lease")).isTrue();
	}

	@Test
	void leaseIsNotGrantedWhileTheStoreIsAway() {
		this.store.setFault(FakeMetadataStore.Fault.BUSY);
		assertThat(Failures.thrownBy(IOException.class, () -> this.first.tryAcquire("lease"))).isNotNull();
	}

}
