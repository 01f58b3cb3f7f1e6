package org.jaywood.gateway;

/**
 * What an attempt has received of its answer.
 *
 * @param headReceived whether the head of the response has arrived
 * @param events number of complete events that have arrived
 * @param proven whether the upstream has gone on after its first event, or completed the
 * answer
 */
record AttemptProgress(boolean headReceived, int events, boolean proven) {

	/** Nothing has arrived. */
	static final AttemptProgress NONE = new AttemptProgress(false, 0, false);

	/**
	 * Returns the progress in a few words, for the log.
	 */
	String describe() {
		if (!this.headReceived) {
			return "nothing";
		}
		return (this.events == 0) ? "head" : this.events + " events";
	}

}
