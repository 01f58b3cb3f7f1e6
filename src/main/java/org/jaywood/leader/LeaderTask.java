package org.jaywood.leader;

/**
 * Task that one process runs at a time.
 */
public interface LeaderTask {

	/**
	 * Runs the task. Called at short intervals while this process is the leader.
	 * @param term term of this process
	 */
	void onTick(LeaderTerm term, long nowMillis);

}
