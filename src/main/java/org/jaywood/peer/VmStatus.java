package org.jaywood.peer;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.Deployment;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;

/**
 * State of one VM as shown to an operator.
 *
 * @param vm name of the VM
 * @param role {@code router} or {@code agent}
 * @param service service of its upstream, or empty
 * @param dataCentre its data centre
 * @param generation generation in force on the VM, or -1 if it does not respond
 * @param upstreamState state of its upstream: fetching, verified, activating, cold, warm,
 * draining, out or unknown; empty for a router
 * @param behindReason why the VM has not reached the target configuration; empty if it
 * has
 */
public record VmStatus(String vm, String role, String service, String dataCentre, long generation, String upstreamState,
		String behindReason) {

	static VmStatus unreachable(VmRecord entry, String reason) {
		return new VmStatus(entry.vm(), entry.role(), entry.service(), entry.dataCentre(), -1,
				entry.role().equals("agent") ? "unknown" : "", reason);
	}

	/**
	 * Creates the status from the state dump of a process.
	 * @param entry its entry in the list of VMs
	 * @param state its state dump
	 * @param target configuration that should be in force
	 */
	static VmStatus of(VmRecord entry, JsonNode state, AppliedConfiguration target) {
		long generation = state.path("generation").asLong();
		String upstreamState = entry.role().equals("agent") ? upstreamState(entry, state, target.deployment()) : "";
		return new VmStatus(entry.vm(), entry.role(), entry.service(), entry.dataCentre(), generation, upstreamState,
				behindReason(state, generation, target.generation()));
	}

	private static String upstreamState(VmRecord entry, JsonNode state, Deployment deployment) {
		if (!deployment.acceptsNewWork(entry.service(), entry.dataCentre())) {
			return "out";
		}
		if (state.path("leaving").asBoolean() || entry.state() == VmState.LEAVING) {
			return "draining";
		}
		String reported = state.path("upstreamState").asText();
		return reported.isEmpty() ? "unknown" : reported;
	}

	private static String behindReason(JsonNode state, long generation, long targetGeneration) {
		String reported = state.path("behindReason").asText();
		if (state.path("peer").path("isolated").asBoolean()) {
			return "no contact to platform or peers";
		}
		if (generation < targetGeneration) {
			return "generation " + generation + " in force" + (reported.isEmpty() ? "" : "; " + reported);
		}
		return reported;
	}

	public boolean behind() {
		return !this.behindReason.isEmpty();
	}

}
