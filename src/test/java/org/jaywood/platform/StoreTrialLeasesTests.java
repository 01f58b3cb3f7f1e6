package org.jaywood.platform;

import java.io.IOException;
import java.util.Map;

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

	/**
	 * Guards against a release that frees the lease of another gateway, which acquired it
	 * after the store was restored from a copy without it.
	 */
	@Test
	void releaseAfterARestoreKeepsTheLeaseOfAnotherGateway() throws IOException {
		FakeMetadataStore.Copy copy = this.store.copy();
		this.first.tryAcquire("lease");
		this.store.restore(copy);
		assertThat(this.second.tryAcquire("lease")).isTrue();
		assertThat(this.first.reacquire("lease")).isFalse();
		this.first.release("lease");
		assertThat(leases().tryAcquire("lease")).isFalse();
		assertThat(this.second.reacquire("lease")).isTrue();
	}

	@Test
	void lostLeaseIsAcquiredAgain() throws IOException {
		FakeMetadataStore.Copy copy = this.store.copy();
		this.first.tryAcquire("lease");
		assertThat(this.first.reacquire("lease")).isTrue();
		this.store.restore(copy);
		assertThat(this.first.reacquire("lease")).isTrue();
		assertThat(this.second.tryAcquire("lease")).isFalse();
	}

	/** Gateways of earlier releases create objects without a holder. */
	@Test
	void leaseOfAnEarlierReleaseIsNotGranted() throws IOException {
		this.store.put("part-trials", "lease", Map.of());
		assertThat(this.first.tryAcquire("lease")).isFalse();
		this.first.release("lease");
		assertThat(this.second.tryAcquire("lease")).isFalse();
	}

	@Test
	void leaseIsNotGrantedWhileTheStoreIsAway() {
		this.store.setFault(FakeMetadataStore.Fault.BUSY);
		assertThat(Failures.thrownBy(IOException.class, () -> this.first.tryAcquire("lease"))).isNotNull();
	}

}
