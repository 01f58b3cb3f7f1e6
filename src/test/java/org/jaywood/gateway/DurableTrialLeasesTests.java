package org.jaywood.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.jaywood.Failures;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against two trials of the same parts, and against a trial that is never made,
 * after the store was restored from an older copy.
 */
class DurableTrialLeasesTests {

	private static final String OWN = "gateway";

	private static final String OTHER = "other gateway";

	private final FakeLeases store = new FakeLeases();

	private final List<String> lost = new ArrayList<>();

	private long era = 1;

	private final DurableTrialLeases leases = new DurableTrialLeases(this.store, () -> this.era);

	private void writeAgain() throws IOException {
		this.leases.writeAgain(this.lost::add);
	}

	@Test
	void heldLeaseIsWrittenAgain() throws IOException {
		writeAgain();
		assertThat(this.leases.tryAcquire("trial")).isTrue();
		this.store.holders.clear();
		this.era++;
		assertThat(this.leases.restored()).isTrue();
		writeAgain();
		assertThat(this.store.holders).containsExactly("trial", OWN);
		assertThat(this.leases.restored()).isFalse();
	}

	@Test
	void releasedLeaseIsReleasedAgain() throws IOException {
		this.leases.tryAcquire("trial");
		this.leases.release("trial");
		this.store.holders.put("trial", OWN);
		this.era++;
		writeAgain();
		assertThat(this.store.holders).isEmpty();
	}

	@Test
	void leaseOfAnotherGatewayIsNotWritten() throws IOException {
		this.store.holders.put("trial", OTHER);
		assertThat(this.leases.tryAcquire("trial")).isFalse();
		this.store.holders.clear();
		this.era++;
		writeAgain();
		assertThat(this.store.holders).isEmpty();
	}

	@Test
	void failedWriteIsRepeated() throws IOException {
		this.leases.tryAcquire("trial");
		this.store.holders.clear();
		this.store.fails = true;
		this.era++;
		Failures.thrownBy(IOException.class, () -> {
			writeAgain();
			return null;
		});
		this.store.fails = false;
		writeAgain();
		assertThat(this.store.holders).containsExactly("trial", OWN);
	}

	/**
	 * The lost lease is reported once, and a later restore does not take it from the
	 * gateway that has it now.
	 */
	@Test
	void leaseThatAnotherGatewayHasAcquiredAfterTheRestoreIsLost() throws IOException {
		this.leases.tryAcquire("trial");
		this.store.holders.put("trial", OTHER);
		this.era++;
		writeAgain();
		assertThat(this.lost).containsExactly("trial");
		this.store.holders.clear();
		this.era++;
		writeAgain();
		assertThat(this.store.holders).isEmpty();
		assertThat(this.lost).hasSize(1);
	}

	private static final class FakeLeases implements TrialLeases {

		private final Map<String, String> holders = new HashMap<>();

		private boolean fails;

		@Override
		public boolean tryAcquire(String name) throws IOException {
			if (this.fails) {
				throw new IOException("store does not answer");
			}
			return this.holders.putIfAbsent(name, OWN) == null;
		}

		@Override
		public boolean reacquire(String name) throws IOException {
			return tryAcquire(name) || OWN.equals(this.holders.get(name));
		}

		@Override
		public void release(String name) {
			this.holders.remove(name, OWN);
		}

	}

}
