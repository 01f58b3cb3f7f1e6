package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Takes the times of the steps of one attempt. Safe for use by several threads.
 */
final class AttemptObserver {

	/** Observes nothing. */
	static final AttemptObserver NONE = new AttemptObserver(null, -1, null, null);

	/**
	 * Share of the weight of a step that the time to the first event has as a measure of
	 * speed, since it depends on the calls before it as well.
	 */
	private static final double FIRST_EVENT_SHARE = 0.25;

	private final @Nullable CallSize size;

	private final long expectedFirstMillis;

	private final @Nullable EngineSpeed speed;

	private final @Nullable UsualPace usual;

	/**
	 * Creates an observer.
	 * @param size expected size of the call
	 * @param expectedFirstMillis expected time to the first event, -1 if unknown
	 */
	AttemptObserver(@Nullable CallSize size, long expectedFirstMillis, @Nullable EngineSpeed speed,
			@Nullable UsualPace usual) {
		this.size = size;
		this.expectedFirstMillis = expectedFirstMillis;
		this.speed = speed;
		this.usual = usual;
	}

	@Nullable CallSize size() {
		return this.size;
	}

	long expectedFirstMillis() {
		return this.expectedFirstMillis;
	}

	/**
	 * Records the time from the request to the first event. Prompts of one size may all
	 * go to fast engines, so the usual time is that of an engine of usual speed.
	 */
	void onFirst(long millis, long nowMillis) {
		if (this.speed != null && this.usual != null && this.size != null) {
			boolean comparable = this.usual.knowsFirst(this.size.promptTokens());
			double usualMillis = this.usual.firstMillis(this.size.promptTokens());
			this.usual.onFirst(this.size.promptTokens(), millis / this.speed.slowness(nowMillis));
			if (comparable) {
				this.speed.onStep(millis, usualMillis, FIRST_EVENT_SHARE, nowMillis);
			}
		}
	}

	/**
	 * Records the time between two events.
	 */
	void onGap(long millis, long nowMillis) {
		if (this.speed != null && this.usual != null) {
			this.usual.onGap(millis);
			this.speed.onStep(millis, this.usual.gapMillis(), nowMillis);
		}
	}

}
