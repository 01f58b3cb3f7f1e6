package org.jaywood.store;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Connects futures with blocking code on virtual threads.
 */
public final class Futures {

	private static final Executor VIRTUAL_THREADS = Executors.newVirtualThreadPerTaskExecutor();

	private Futures() {
	}

	/**
	 * Runs blocking code on its own virtual thread.
	 */
	public static <T> CompletableFuture<T> run(Callable<T> code) {
		CompletableFuture<T> future = new CompletableFuture<>();
		VIRTUAL_THREADS.execute(() -> {
			try {
				future.complete(code.call());
			}
			catch (Throwable ex) {
				future.completeExceptionally(ex);
			}
		});
		return future;
	}

	/**
	 * Waits for a future and returns its result; throws its failure unwrapped if it is a
	 * {@code RuntimeException}.
	 */
	public static <T> T await(CompletableFuture<T> future) {
		try {
			return future.join();
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof RuntimeException cause) {
				throw cause;
			}
			throw ex;
		}
	}

	/**
	 * Sleeps between two retries. An interrupt ends the sleep and remains set.
	 */
	public static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
