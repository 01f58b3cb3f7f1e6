package org.jaywood.wire;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;

/**
 * Platform threads for the few long-running tasks: requests of peers, feeds and the
 * monitoring of an engine. Such a thread blocks in the kernel until its bytes arrive,
 * whereas each wait of a virtual thread also wakes a poller and a carrier. Callers and
 * their calls, which are many, run on virtual threads.
 */
public final class DaemonThreads {

	private static final ThreadFactory REQUEST_THREADS = Thread.ofPlatform().daemon().name("task-", 0).factory();

	private static final ExecutorService REQUEST_POOL = Executors.newCachedThreadPool(REQUEST_THREADS);

	private DaemonThreads() {
	}

	/**
	 * Returns the pool of threads that serve requests of peers; idle threads are kept for
	 * a minute.
	 */
	public static ExecutorService requestPool() {
		return REQUEST_POOL;
	}

	/**
	 * Starts a task on a daemon thread, for tasks that run as long as their owner.
	 * @param name name of its thread
	 */
	public static Thread startDaemon(String name, Runnable work) {
		return Thread.ofPlatform().daemon().name(name).start(work);
	}

}
