package org.jaywood.config;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.NotEmpty;
import net.jqwik.api.constraints.Size;

import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that returns to an older generation, or stays below the
 * highest one offered, when offers arrive out of order, twice or concurrently.
 */
class ConfigurationHolderPropertyTests {

	private static AppliedConfiguration generation(long number) {
		return new AppliedConfiguration(number, "apply-" + number, "test", 0, Deployment.EMPTY.digest(),
				Deployment.EMPTY);
	}

	@Property(tries = 500, seed = "1")
	void endsAtHighestGenerationInAnyOfferOrder(
			@ForAll @NotEmpty @Size(max = 30) List<@LongRange(min = 1, max = 12) Long> offers) {
		ConfigurationHolder holder = new ConfigurationHolder(new EventLog("test"));
		long highest = 0;
		for (long offer : offers) {
			boolean adopted = holder.adoptIfNewer(generation(offer), "source");
			long current = holder.current().generation();
			assertThat(current).isEqualTo(Math.max(highest, offer));
			assertThat(adopted).isEqualTo(offer > highest);
			highest = current;
		}
	}

	@Property(tries = 60, seed = "1")
	void generationNeverDecreasesWhenSourcesOfferConcurrently(
			@ForAll @NotEmpty @Size(max = 40) List<@LongRange(min = 1, max = 20) Long> offers,
			@ForAll @IntRange(min = 2, max = 6) int sources) throws InterruptedException {
		ConfigurationHolder holder = new ConfigurationHolder(new EventLog("test"));
		List<Long> inForce = new CopyOnWriteArrayList<>();
		holder.onChange((configuration) -> inForce.add(configuration.generation()));
		CountDownLatch start = new CountDownLatch(1);
		List<Thread> threads = new ArrayList<>();
		for (int source = 0; source < sources; source++) {
			int number = source;
			threads.add(Thread.ofVirtual().start(() -> {
				awaitQuietly(start);
				for (int i = number; i < offers.size(); i += sources) {
					holder.adoptIfNewer(generation(offers.get(i)), "source " + number);
				}
			}));
		}
		start.countDown();
		for (Thread thread : threads) {
			thread.join();
		}
		assertThat(holder.current().generation()).isEqualTo(offers.stream().mapToLong(Long::longValue).max().orElse(0));
		assertThat(inForce).isInStrictOrder();
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
