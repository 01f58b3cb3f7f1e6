package org.jaywood.routing;

/**
 * Expected way of a call at an engine until its first event.
 *
 * @param waitMillis time until a slot is free
 * @param readMillis time from then to the first event, for reading the prompts before it
 * and its own
 */
record EngineEstimate(double waitMillis, double readMillis) {

	/**
	 * Estimates for one engine.
	 * @param load work that the engine holds
	 * @param ownReadMillis time in which an engine of usual speed reads the prompt
	 * @param slowness factor of the engine on usual times
	 */
	static EngineEstimate of(EngineLoad load, double ownReadMillis, double slowness) {
		double slots = Math.max(1, load.slots());
		// A report is some hundred milliseconds old, so that the last free slot may be
		// gone: the calls beyond the slots are taken as spread by about one.
		double beyondSlots = Math.log1p(Math.exp(Math.min(load.calls() + 1 - slots, MAX_BEYOND_SLOTS)));
		double waitMillis = beyondSlots * load.workLeftMillis() / Math.max(1, load.calls()) / slots;
		double sharing = 1 + load.calls() / slots;
		return new EngineEstimate(waitMillis * slowness, (load.unreadMillis() + ownReadMillis) * sharing * slowness);
	}

	/** No engine holds as many calls beyond its slots. */
	private static final double MAX_BEYOND_SLOTS = 100;

	double firstEventMillis() {
		return this.waitMillis + this.readMillis;
	}

	/**
	 * Work that an engine holds, in the time that an engine of usual speed takes for it.
	 *
	 * @param slots calls that it runs at once
	 * @param calls calls that it holds
	 * @param workLeftMillis time that these would take, one after the other
	 * @param unreadMillis part of it for prompts that are not read yet
	 */
	record EngineLoad(int slots, double calls, double workLeftMillis, double unreadMillis) {
	}

}
