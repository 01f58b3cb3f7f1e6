package org.jaywood.router;

import org.jaywood.store.VmRecord;
import org.jaywood.wire.Refusal;

/**
 * One attempt to run a call at an agent.
 *
 * @param router incarnation of the router
 * @param agent VM of the agent, as in the list of VMs
 * @param agentIncarnation incarnation of the agent that may run the attempt
 * @param attempt number of the attempt
 * @param requestId id of the call
 */
record CallAttempt(String router, VmRecord agent, String agentIncarnation, long attempt, String requestId) {

	/**
	 * What is known about an attempt from the agent's response or from the failure to get
	 * one.
	 */
	sealed interface SendResult {

		/**
		 * The agent admitted the call and streams its answer.
		 */
		record Admitted(CallAttempt attempt, FrameReader frames) implements SendResult {
		}

		/**
		 * The agent refused; the upstream never received the call.
		 */
		record Refused(Refusal refusal) implements SendResult {
		}

		/**
		 * The agent has not received the call, or rejected the credential before it read
		 * the call.
		 */
		record NotSent(String reason) implements SendResult {
		}

		/**
		 * The call may have reached the agent.
		 */
		record Indeterminate(CallAttempt attempt, String reason) implements SendResult {
		}

	}

}
