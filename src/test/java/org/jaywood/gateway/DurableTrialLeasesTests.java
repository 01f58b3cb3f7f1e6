package org.jaywood.gateway;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.jaywood.Failures;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against two trials of the same parts, and against a trial that is never made,
 * after the store was restored from an older copy.
 */
class DurableTrialLeasesTests {

	private final FakeLeases store = new FakeLeases();

	private long era = 1;

	private final DurableTrialLeases leases = new DurableTrialLeases(this.store, () -> this.era);

	@Test
	void heldLeaseIsWrittenAgain() throws IOException {
		this.leases.writeAgain();
		assertThat(this.leases.tryAcquire("trial")).isTrue();
		this.store.names.clear();
		this.era++;
		assertThat(this.leases.restored()).isTrue();
		this.leases.writeAgain();
		assertThat(this.store.names).containsExactly("trial");
		assertThat(this.leases.restored()).isFalse();
	}

	@Test
	void releasedLeaseIsReleasedAgain() throws IOException {
		this.leases.tryAcquire("trial");
		this.leases.release("trial");
		this.store.names.add("trial");
		this.era++;
		this.leases.writeAgain();
		assertThat(this.store.names).isEmpty();
	}

	@Test
	void leaseOfAnotherGatewayIsNotWritten() throws IOException {
		this.store.names.add("trial");
		assertThat(this.leases.tryAcquire("trial")).isFalse();
		this.store.names.clear();
		this.era++;
		this.leases.writeAgain();
		assertThat(this.store.names).isEmpty();
	}

	@Test
	void failedWriteIsRepeated() throws IOException {
		this.leases.tryAcquire("trial");
		this.store.names.clear();
		this.store.fails = true;
		this.era++;
		Failures.thrownBy(IOException.class, () -> {
			this.leases.writeAgain();
			return null;
		});
		this.store.fails = false;
		this.leases.writeAgain();
		assertThat(this.store.names).containsExactly("trial");
	}

	private static final class FakeLeases implements TrialLeases {

		private final Set<String> names = new HashSet<>();

		private boolean fails;

		@Override
		public boolean tryAcquire(String name) throws IOException {
			if (this.fails) {
				throw new IOException("store does not answer");
			}
			return this.names.add(name);
		}

		@Override
		public void release(String name) {
			this.names.remove(name);
		}

	}

}
