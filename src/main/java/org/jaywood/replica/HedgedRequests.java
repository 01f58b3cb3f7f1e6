package org.jaywood.replica;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionService;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Sends a request to one source after the other until one responds. The next source is
 * asked as soon as one fails, and also if none has responded for a while. Designed for a
 * start of all agents at once: a source that has just started waits for the response
 * itself, while another one has it.
 */
final class HedgedRequests {

	private final Executor executor;

	private final long hedgeDelayMillis;

	/**
	 * Creates the requests.
	 * @param executor runs one task for each request in progress
	 * @param hedgeDelayMillis time without a response after which the next source is
	 * asked as well
	 */
	HedgedRequests(Executor executor, long hedgeDelayMillis) {
		this.executor = executor;
		this.hedgeDelayMillis = hedgeDelayMillis;
	}

	/**
	 * Returns the first response, or empty if all sources failed. Requests still in
	 * progress go on, and their responses are ignored.
	 * @param sources requests in the order in which they are sent
	 */
	<T> Optional<T> firstResponse(List<Callable<T>> sources) throws InterruptedException {
		CompletionService<T> completions = new ExecutorCompletionService<>(this.executor);
		Iterator<Callable<T>> unasked = sources.iterator();
		int running = 0;
		while (unasked.hasNext() || running > 0) {
			if (unasked.hasNext()) {
				completions.submit(unasked.next());
				running++;
			}
			Future<T> ended = unasked.hasNext() ? completions.poll(this.hedgeDelayMillis, TimeUnit.MILLISECONDS)
					: completions.take();
			if (ended != null) {
				running--;
				T response = responseOf(ended);
				if (response != null) {
					return Optional.of(response);
				}
			}
		}
		return Optional.empty();
	}

	private static <T> @Nullable T responseOf(Future<T> ended) throws InterruptedException {
		try {
			return ended.get();
		}
		catch (ExecutionException ex) {
			return null;
		}
	}

}
