package org.jaywood.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * What an installation consists of and how its processes are started.
 *
 * @param profile shape of the installation
 * @param routers number of routers, placed in turn in the data centres
 * @param network whether the network stand-in shapes all traffic between VMs with the
 * links of the profile; it is needed for network faults
 * @param machineBytesPerSecond rate of the link of each VM, 0 for unlimited
 * @param originBytesPerSecond rate of the link of the weight store, 0 for unlimited
 * @param enginesInProcess whether the engines run in the process of the experiment, which
 * saves a process for each agent, or in processes of their own
 * @param tokenMillis time of an engine for each token
 * @param credential credential between the processes, or null
 * @param flags further flags by program: router, agent, engine, service, platform, store
 */
public record InstallationOptions(Profile profile, int routers, boolean network, long machineBytesPerSecond,
		long originBytesPerSecond, boolean enginesInProcess, long tokenMillis, @Nullable String credential,
		Map<String, List<String>> flags) {

	private static final long DEFAULT_TOKEN_MILLIS = 5;

	public InstallationOptions {
		flags = Map.copyOf(flags);
	}

	/**
	 * Two routers and no shaping.
	 */
	public static InstallationOptions of(Profile profile) {
		return new InstallationOptions(profile, 2, false, 0, 0, false, DEFAULT_TOKEN_MILLIS, null, Map.of());
	}

	public InstallationOptions withRouters(int count) {
		return new InstallationOptions(this.profile, count, this.network, this.machineBytesPerSecond,
				this.originBytesPerSecond, this.enginesInProcess, this.tokenMillis, this.credential, this.flags);
	}

	/**
	 * Turns the network stand-in on.
	 */
	public InstallationOptions withNetwork() {
		return new InstallationOptions(this.profile, this.routers, true, this.machineBytesPerSecond,
				this.originBytesPerSecond, this.enginesInProcess, this.tokenMillis, this.credential, this.flags);
	}

	/**
	 * Turns the network stand-in on with rates for the links of the VMs and of the weight
	 * store.
	 */
	public InstallationOptions withLinkRates(long machine, long origin) {
		return new InstallationOptions(this.profile, this.routers, true, machine, origin, this.enginesInProcess,
				this.tokenMillis, this.credential, this.flags);
	}

	/**
	 * Runs the engines in the process of the experiment.
	 */
	public InstallationOptions withEnginesInProcess() {
		return new InstallationOptions(this.profile, this.routers, this.network, this.machineBytesPerSecond,
				this.originBytesPerSecond, true, this.tokenMillis, this.credential, this.flags);
	}

	public InstallationOptions withTokenMillis(long millis) {
		return new InstallationOptions(this.profile, this.routers, this.network, this.machineBytesPerSecond,
				this.originBytesPerSecond, this.enginesInProcess, millis, this.credential, this.flags);
	}

	public InstallationOptions withCredential(String value) {
		return new InstallationOptions(this.profile, this.routers, this.network, this.machineBytesPerSecond,
				this.originBytesPerSecond, this.enginesInProcess, this.tokenMillis, value, this.flags);
	}

	/**
	 * Sets the further flags of a program.
	 */
	public InstallationOptions withFlags(String program, String... values) {
		Map<String, List<String>> changed = new HashMap<>(this.flags);
		changed.put(program, List.of(values));
		return new InstallationOptions(this.profile, this.routers, this.network, this.machineBytesPerSecond,
				this.originBytesPerSecond, this.enginesInProcess, this.tokenMillis, this.credential, changed);
	}

	public List<String> flagsOf(String program) {
		return this.flags.getOrDefault(program, List.of());
	}

}
