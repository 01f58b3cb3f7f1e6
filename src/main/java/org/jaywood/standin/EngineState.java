package org.jaywood.standin;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Load, memory and cold start of an engine stand-in, and the record of them. A cold
 * engine counts the calls that it accepted since it turned cold; when they exceed its
 * cold limit, or all calls its memory, it crashes: it drops every call and comes back as
 * a new, cold instance.
 */
final class EngineState {

	/** Memory of one token of a call. */
	private static final long TOKEN_BYTES = 2_048;

	private final EngineOptions options;

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final PrefixCache cache = new PrefixCache(1024 * 1024);

	private String instance = UUID.randomUUID().toString();

	private boolean cold = true;

	private long life;

	private long coldPeriod;

	private int inFlight;

	private int coldLoad;

	private int completedWhileCold;

	private long memoryBytes;

	private int highestColdLoad;

	private int highestLoad;

	private int crashes;

	private long memoryPeakBytes;

	private int cancelled;

	private int resumed;

	private int refused;

	private int cacheHits;

	private long lastArrivalMillis;

	EngineState(EngineOptions options) {
		this.options = options;
	}

	/**
	 * Takes a call, refuses it or crashes of it.
	 * @return the call, or empty if it was not taken
	 */
	synchronized Optional<Call> accept(String requestId, String prompt, int resumeFrom, long nowMillis) {
		this.lastArrivalMillis = nowMillis;
		if (!this.cold && this.inFlight >= this.options.maxConcurrency()) {
			this.refused++;
			return Optional.empty();
		}
		Call call = new Call(prompt.length() + resumeFrom * TOKEN_BYTES);
		this.inFlight++;
		this.highestLoad = Math.max(this.highestLoad, this.inFlight);
		this.memoryBytes += call.bytes;
		this.runs.merge(requestId, 1, Integer::sum);
		this.resumed += (resumeFrom > 0) ? 1 : 0;
		if (this.cold) {
			this.coldLoad++;
			this.highestColdLoad = Math.max(this.highestColdLoad, this.coldLoad);
		}
		call.cached = this.cache.hit(prompt);
		this.cacheHits += call.cached ? 1 : 0;
		crashIfOverloaded();
		return call.alive() ? Optional.of(call) : Optional.empty();
	}

	private void crashIfOverloaded() {
		this.memoryPeakBytes = Math.max(this.memoryPeakBytes, this.memoryBytes);
		if ((this.cold && this.coldLoad > this.options.coldLimit()) || this.memoryBytes > this.options.memoryBytes()) {
			this.crashes++;
			restart();
		}
	}

	/**
	 * Drops every call and comes back as a new, cold instance.
	 */
	synchronized void restart() {
		this.life++;
		this.instance = UUID.randomUUID().toString();
		this.inFlight = 0;
		this.memoryBytes = 0;
		turnCold();
	}

	/**
	 * Turns cold without warning. Calls that run go on.
	 */
	synchronized void turnCold() {
		this.cold = true;
		this.coldPeriod++;
		this.coldLoad = 0;
		this.completedWhileCold = 0;
	}

	/**
	 * Time of the next token: it grows with the load, more so for low priorities.
	 */
	synchronized long tokenMillis(int priority) {
		double load = (double) this.inFlight / this.options.maxConcurrency();
		double factor = (1 + load * (0.5 + priority / 10.0)) * (this.cold ? 2 : 1);
		return Math.round(this.options.tokenMillis() * factor);
	}

	synchronized String instance() {
		return this.instance;
	}

	synchronized String name() {
		return this.cold ? "cold" : "warm";
	}

	synchronized Map<String, Object> status(String weights, long fencing) {
		return Map.of("instance", this.instance, "state", name(), "weights", weights, "fencing", fencing, "inFlight",
				this.inFlight, "memoryBytes", this.memoryBytes, "memoryLimitBytes", this.options.memoryBytes(),
				"coldLimit", this.options.coldLimit(), "maxConcurrency", this.options.maxConcurrency());
	}

	synchronized Map<String, Object> record() {
		Map<String, Object> record = new TreeMap<>();
		record.put("runs", new TreeMap<>(this.runs));
		record.put("lastArrivalMillis", this.lastArrivalMillis);
		record.put("highestColdLoad", this.highestColdLoad);
		record.put("highestLoad", this.highestLoad);
		record.put("coldLimit", this.options.coldLimit());
		record.put("crashes", this.crashes);
		record.put("memoryPeakBytes", this.memoryPeakBytes);
		record.put("cancelled", this.cancelled);
		record.put("resumed", this.resumed);
		record.put("refused", this.refused);
		record.put("cacheHits", this.cacheHits);
		return record;
	}

	/**
	 * A call that the engine runs.
	 */
	final class Call {

		private final long startedInLife = EngineState.this.life;

		private final long acceptedInColdPeriod = EngineState.this.cold ? EngineState.this.coldPeriod : -1;

		private final String acceptedBy = EngineState.this.instance;

		private final String acceptedState = name();

		private long bytes;

		private boolean cached;

		private Call(long bytes) {
			this.bytes = bytes;
		}

		boolean alive() {
			synchronized (EngineState.this) {
				return this.startedInLife == EngineState.this.life;
			}
		}

		boolean cached() {
			return this.cached;
		}

		/** Instance and state that accepted the call. */
		String acceptedBy() {
			return this.acceptedBy;
		}

		String acceptedState() {
			return this.acceptedState;
		}

		/**
		 * Adds the memory of a token.
		 * @return whether the engine still runs the call
		 */
		boolean grow() {
			synchronized (EngineState.this) {
				if (alive()) {
					this.bytes += TOKEN_BYTES;
					EngineState.this.memoryBytes += TOKEN_BYTES;
					crashIfOverloaded();
				}
				return alive();
			}
		}

		void end(boolean completed) {
			synchronized (EngineState.this) {
				if (!alive()) {
					return;
				}
				EngineState.this.inFlight--;
				EngineState.this.memoryBytes -= this.bytes;
				EngineState.this.cancelled += completed ? 0 : 1;
				if (EngineState.this.cold && this.acceptedInColdPeriod == EngineState.this.coldPeriod) {
					EngineState.this.coldLoad--;
					EngineState.this.completedWhileCold += completed ? 1 : 0;
					EngineState.this.cold = EngineState.this.completedWhileCold < EngineState.this.options.warmAfter();
				}
			}
		}

	}

}
