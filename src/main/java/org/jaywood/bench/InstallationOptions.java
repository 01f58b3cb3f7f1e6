package org.jaywood.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Components of an installation and the settings of its processes.
 *
 * @param profile shape of the installation
 * @param routers number of routers, assigned to the data centres in turn
 * @param network whether all traffic between VMs passes the network stand-in, which
 * applies the delays and rates of the profile's links and is needed for network faults
 * @param machineBytesPerSecond rate of the link of each VM, 0 for unlimited
 * @param originBytesPerSecond rate of the link of the weight store, 0 for unlimited
 * @param enginesInProcess whether the engines run in the process of the experiment, which
 * saves one process for each agent, or in separate processes
 * @param tokenMillis time of an engine for each token
 * @param credential credential between the processes, or null
 * @param flags additional command-line flags by program: router, agent, engine, service,
 * platform, store
 */
public record InstallationOptions(Profile profile, int routers, boolean network, long machineBytesPerSecond,
		long originBytesPerSecond, boolean enginesInProcess, long tokenMillis, @Nullable String credential,
		Map<String, List<String>> flags) {

	private static final long DEFAULT_TOKEN_MILLIS = 5;

	public InstallationOptions {
		flags = Map.copyOf(flags);
	}

	/**
	 * Returns the default options: two routers and no network stand-in.
	 */
	public static InstallationOptions of(Profile profile) {
		return new InstallationOptions(profile, 2, false, 0, 0, false, DEFAULT_TOKEN_MILLIS, null, Map.of());
	}

	public InstallationOptions withRouters(int count) {
		return new InstallationOptions(this.profile, count, this.network, this.machineBytesPerSecond,
				this.originBytesPerSecond, this.enginesInProcess, this.tokenMillis, this.credential, this.flags);
	}

	/**
	 * Enables the network stand-in.
	 */
	public InstallationOptions withNetwork() {
		return new InstallationOptions(this.profile, this.routers, true, this.machineBytesPerSecond,
				this.originBytesPerSecond, this.enginesInProcess, this.tokenMillis, this.credential, this.flags);
	}

	/**
	 * Enables the network stand-in with rates, in bytes a second, for the links of the
	 * VMs and of the weight store.
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
	 * Sets the additional command-line flags of a program.
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
