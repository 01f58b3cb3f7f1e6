package org.jaywood.platform;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.databind.node.IntNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.event.EventLog;
import org.jaywood.leader.Lease;
import org.jaywood.leader.LeaseResponse;
import org.jaywood.leader.SavedState;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a lease that is overwritten although another process has written it, or
 * that is read back otherwise than it was written.
 */
class StoreLeasesTests {

	private final FakeMetadataStore store = new FakeMetadataStore(new Address("127.0.0.1", 0), new EventLog("store"));

	private final StoreLeases leases = new StoreLeases(new MetadataStoreClient(this.store.address()));

	@AfterEach
	void close() {
		this.store.close();
	}

	private static Lease lease(long term) {
		return new Lease("entry-1", new Address("10.1.0.1", 7715), "p-1", term, 0,
				Map.of("usage", new SavedState(0, IntNode.valueOf(7))));
	}

	@Test
	void missingLeaseIsCreatedOnce() throws IOException {
		assertThat(this.leases.read(true)).isEqualTo(new LeaseResponse.Missing(0));
		assertThat(this.leases.create(lease(1))).isInstanceOf(LeaseResponse.Written.class);
		assertThat(this.leases.create(lease(2))).isEqualTo(new LeaseResponse.Conflict(0, null));
	}

	@Test
	void leaseIsReplacedOnlyAtItsRevision() throws IOException {
		LeaseResponse.Written created = (LeaseResponse.Written) this.leases.create(lease(1));
		LeaseResponse.Written replaced = (LeaseResponse.Written) this.leases.replace(lease(2), created.revision());
		LeaseResponse.Found current = new LeaseResponse.Found(0, replaced.revision(), lease(2));
		assertThat(this.leases.replace(lease(3), created.revision())).isEqualTo(new LeaseResponse.Conflict(0, current));
		assertThat(this.leases.read(true)).isEqualTo(current);
	}

	@Test
	void refusalOfTheStoreIsNoResponse() {
		this.store.setFault(FakeMetadataStore.Fault.BUSY);
		Failures.thrownBy(IOException.class, () -> this.leases.read(true));
		Failures.thrownBy(IOException.class, () -> this.leases.create(lease(1)));
		Failures.thrownBy(IOException.class, () -> this.leases.replace(lease(1), 1));
	}

}
