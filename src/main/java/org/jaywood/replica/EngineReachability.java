package org.jaywood.replica;

/**
 * Whether the engine counts as not reachable. One late answer decides nothing: a sound
 * engine may be silent for a second or so. The end of its process decides at once. Not
 * safe for use by several threads.
 */
final class EngineReachability {

	/** Time without an answer from which an engine is not reachable. */
	static final long MAX_SILENCE_MILLIS = 3_000;

	/** Polls in a row that must have failed in that time. */
	static final int MIN_FAILED_POLLS = 2;

	private long answeredMillis = Long.MIN_VALUE / 2;

	private int failedPolls;

	void onAnswer(long nowMillis) {
		this.answeredMillis = nowMillis;
		this.failedPolls = 0;
	}

	/**
	 * Records a poll without an answer.
	 * @param ended whether the process of the engine has ended
	 * @return whether the engine is not reachable now
	 */
	boolean onFailure(boolean ended, long nowMillis) {
		this.failedPolls++;
		if (ended) {
			this.answeredMillis = Long.MIN_VALUE / 2;
		}
		return nowMillis - this.answeredMillis >= MAX_SILENCE_MILLIS && (ended || this.failedPolls >= MIN_FAILED_POLLS);
	}

}
