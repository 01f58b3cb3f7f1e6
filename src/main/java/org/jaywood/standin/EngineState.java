package org.jaywood.standin;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Load, memory and cold start of an engine stand-in, and their counters. A cold engine
 * counts the calls in flight that it accepted since it turned cold. When these exceed its
 * cold limit, or all calls exceed its memory, the engine crashes: it drops every call and
 * restarts as a new, cold instance.
 */
final class EngineState {

	/** Memory that a call needs per token. */
	private static final long TOKEN_BYTES = 2_048;

	private final EngineOptions options;

	private final Map<String, Integer> runsByRequestId = new ConcurrentHashMap<>();

	private final PrefixCache prefixCache = new PrefixCache(1024 * 1024);

	private String instance = UUID.randomUUID().toString();

	private boolean cold = true;

	private long instanceNumber;

	private long coldPeriod;

	private int inFlight;

	private int coldLoad;

	private int completedWhileCold;

	private long memoryBytes;

	private int highestColdLoad;

	private int highestLoad;

	private int crashes;

	private long memoryPeakBytes;

	private int cancelledCalls;

	private int resumedCalls;

	private int refusedCalls;

	private int cacheHits;

	private long lastArrivalMillis;

	private long lastNewCallMillis;

	EngineState(EngineOptions options) {
		this.options = options;
	}

	/**
	 * Accepts a call, refuses it, or crashes because it exceeds a limit.
	 * @return the call, or empty if it was refused or the engine crashed
	 */
	synchronized Optional<Call> accept(String requestId, String prompt, int resumeFrom, long nowMillis) {
		this.lastArrivalMillis = nowMillis;
		if (!this.runsByRequestId.containsKey(requestId)) {
			this.lastNewCallMillis = nowMillis;
		}
		if (!this.cold && this.inFlight >= this.options.maxConcurrency()) {
			this.refusedCalls++;
			return Optional.empty();
		}
		Call call = new Call(prompt.length() + resumeFrom * TOKEN_BYTES);
		this.inFlight++;
		this.highestLoad = Math.max(this.highestLoad, this.inFlight);
		this.memoryBytes += call.callMemoryBytes;
		this.runsByRequestId.merge(requestId, 1, Integer::sum);
		this.resumedCalls += (resumeFrom > 0) ? 1 : 0;
		if (this.cold) {
			this.coldLoad++;
			this.highestColdLoad = Math.max(this.highestColdLoad, this.coldLoad);
		}
		call.prefixCached = this.prefixCache.lookUpAndAdd(prompt);
		this.cacheHits += call.prefixCached ? 1 : 0;
		crashIfOverloaded();
		return call.running() ? Optional.of(call) : Optional.empty();
	}

	private void crashIfOverloaded() {
		this.memoryPeakBytes = Math.max(this.memoryPeakBytes, this.memoryBytes);
		if ((this.cold && this.coldLoad > this.options.coldLimit()) || this.memoryBytes > this.options.memoryBytes()) {
			this.crashes++;
			restart();
		}
	}

	/**
	 * Drops every call and restarts as a new, cold instance.
	 */
	synchronized void restart() {
		this.instanceNumber++;
		this.instance = UUID.randomUUID().toString();
		this.inFlight = 0;
		this.memoryBytes = 0;
		turnCold();
	}

	/**
	 * Turns the engine cold at once. Calls in flight continue.
	 */
	synchronized void turnCold() {
		this.cold = true;
		this.coldPeriod++;
		this.coldLoad = 0;
		this.completedWhileCold = 0;
	}

	/**
	 * Returns the time until the next token, which grows with the load, and more so for
	 * high priority numbers, which mean low priority.
	 */
	synchronized long tokenMillis(int priority) {
		double load = (double) this.inFlight / this.options.maxConcurrency();
		double factor = (1 + load * (0.5 + priority / 10.0)) * (this.cold ? 2 : 1);
		return Math.round(this.options.tokenMillis() * factor);
	}

	synchronized String instance() {
		return this.instance;
	}

	synchronized String stateName() {
		return this.cold ? "cold" : "warm";
	}

	synchronized Map<String, Object> status(String weightsDigest, long fencingToken) {
		return Map.of("instance", this.instance, "state", stateName(), "weights", weightsDigest, "fencing",
				fencingToken, "inFlight", this.inFlight, "memoryBytes", this.memoryBytes, "memoryLimitBytes",
				this.options.memoryBytes(), "coldLimit", this.options.coldLimit(), "maxConcurrency",
				this.options.maxConcurrency());
	}

	synchronized Map<String, Object> record() {
		Map<String, Object> record = new TreeMap<>();
		record.put("runs", new TreeMap<>(this.runsByRequestId));
		record.put("lastArrivalMillis", this.lastArrivalMillis);
		record.put("lastNewCallMillis", this.lastNewCallMillis);
		record.put("highestColdLoad", this.highestColdLoad);
		record.put("highestLoad", this.highestLoad);
		record.put("coldLimit", this.options.coldLimit());
		record.put("crashes", this.crashes);
		record.put("memoryPeakBytes", this.memoryPeakBytes);
		record.put("cancelled", this.cancelledCalls);
		record.put("resumed", this.resumedCalls);
		record.put("refused", this.refusedCalls);
		record.put("cacheHits", this.cacheHits);
		return record;
	}

	/**
	 * A call that the engine runs.
	 */
	final class Call {

		private final long acceptingInstanceNumber = EngineState.this.instanceNumber;

		private final long acceptingColdPeriod = EngineState.this.cold ? EngineState.this.coldPeriod : -1;

		private final String acceptingInstance = EngineState.this.instance;

		private final String stateAtAcceptance = stateName();

		private long callMemoryBytes;

		private boolean prefixCached;

		private Call(long callMemoryBytes) {
			this.callMemoryBytes = callMemoryBytes;
		}

		boolean running() {
			synchronized (EngineState.this) {
				return this.acceptingInstanceNumber == EngineState.this.instanceNumber;
			}
		}

		boolean prefixCached() {
			return this.prefixCached;
		}

		/** Returns the id of the instance that accepted the call. */
		String acceptingInstance() {
			return this.acceptingInstance;
		}

		String stateAtAcceptance() {
			return this.stateAtAcceptance;
		}

		/**
		 * Adds the memory of a token, which can crash the engine.
		 * @return whether the engine still runs the call
		 */
		boolean addToken() {
			synchronized (EngineState.this) {
				if (running()) {
					this.callMemoryBytes += TOKEN_BYTES;
					EngineState.this.memoryBytes += TOKEN_BYTES;
					crashIfOverloaded();
				}
				return running();
			}
		}

		void end(boolean completed) {
			synchronized (EngineState.this) {
				if (!running()) {
					return;
				}
				EngineState.this.inFlight--;
				EngineState.this.memoryBytes -= this.callMemoryBytes;
				EngineState.this.cancelledCalls += completed ? 0 : 1;
				if (EngineState.this.cold && this.acceptingColdPeriod == EngineState.this.coldPeriod) {
					EngineState.this.coldLoad--;
					EngineState.this.completedWhileCold += completed ? 1 : 0;
					EngineState.this.cold = EngineState.this.completedWhileCold < EngineState.this.options.warmAfter();
				}
			}
		}

	}

}
