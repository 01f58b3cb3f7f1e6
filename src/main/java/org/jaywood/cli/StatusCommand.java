package org.jaywood.cli;

import java.util.List;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ConfigurationException;
import org.jaywood.peer.FleetStatus;
import org.jaywood.peer.FleetStatus.Group;
import org.jaywood.peer.VmStatus;
import org.jaywood.store.Futures;
import org.jaywood.store.PlatformException;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Json;

/**
 * Command that shows on how many VMs of each data centre and service the latest
 * generation is in force, and which VMs are behind and why.
 */
@Parameters(commandDescription = "Shows where the latest generation is in force, and which VMs are behind and why")
final class StatusCommand implements Command {

	/**
	 * Exit code if the latest generation is not in force on all VMs or a VM is behind. A
	 * script can repeat the command until the code is 0.
	 */
	private static final int EXIT_BEHIND = 1;

	private static final int MAX_LISTED_VMS_PER_GROUP = 5;

	@ParametersDelegate
	private final OperatorOptions options = new OperatorOptions();

	@Parameter(names = "--operator-port", converter = Converters.PortConverter.class,
			description = "Operator port, the same on each VM; its host is that of the peer address of the VM")
	private Integer operatorPort = 7101;

	@Parameter(names = "--json", description = "Prints JSON")
	private boolean json;

	@Override
	public String name() {
		return "status";
	}

	@Override
	public int run() {
		FleetStatus status = readFleet();
		if (this.json) {
			System.out.println(Json.text(status));
		}
		else {
			print(status);
		}
		return status.complete() ? 0 : EXIT_BEHIND;
	}

	private FleetStatus readFleet() {
		AppliedConfiguration latest = this.options.peerReader()
			.highestConfiguration(this.options.peers)
			.orElse(AppliedConfiguration.NONE);
		List<VmRecord> vms;
		try {
			AppliedConfiguration stored = this.options.repository().current().orElse(AppliedConfiguration.NONE);
			if (stored.generation() < latest.generation()) {
				System.err.println("platform holds generation " + stored.generation() + ", older than generation "
						+ latest.generation() + " in force at a peer");
			}
			latest = (stored.generation() > latest.generation()) ? stored : latest;
			vms = Futures.await(this.options.platformClient().awaitChanges(0, 0)).vms();
		}
		catch (PlatformException ex) {
			System.err.println("platform: " + ex.getMessage());
			vms = this.options.peerReader()
				.vms(this.options.peers)
				.orElseThrow(
						() -> new ConfigurationException("neither the platform nor a named peer responds, named peers: "
								+ this.options.peers + "; name a router or agent with --peer ip:port"))
				.vms();
		}
		return FleetStatus.read(vms.stream().filter((vm) -> vm.state() != VmState.GONE).toList(), latest,
				this.operatorPort, this.options.client());
	}

	private static void print(FleetStatus status) {
		System.out.println(
				"wanted: generation " + status.wanted() + (status.author().isEmpty() ? "" : " by " + status.author()));
		System.out.printf("%-16s %-16s %-8s %-9s %s%n", "data centre", "service", "dc", "in force", "upstreams");
		status.groups().forEach(StatusCommand::print);
		System.out.println(status.complete() ? "complete: everything is in force" : "not complete");
	}

	private static void print(Group group) {
		String upstreams = group.upstreams()
			.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + " " + entry.getValue())
			.collect(Collectors.joining(", "));
		System.out.printf("%-16s %-16s %-8s %-9s %s%n", group.dataCentre(), group.service(),
				group.inService() ? "in" : "out", group.inForce() + "/" + group.vms(),
				(group.vms() > 0) ? upstreams : "no VM");
		group.behind().stream().limit(MAX_LISTED_VMS_PER_GROUP).forEach(StatusCommand::print);
		if (group.behind().size() > MAX_LISTED_VMS_PER_GROUP) {
			System.out.println("    and " + (group.behind().size() - MAX_LISTED_VMS_PER_GROUP) + " more; see --json");
		}
	}

	private static void print(VmStatus vm) {
		System.out.println("    behind: " + vm.vm() + ": " + vm.behindReason());
	}

}
