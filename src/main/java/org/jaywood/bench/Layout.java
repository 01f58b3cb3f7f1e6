package org.jaywood.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.Profile.ServiceShape;
import org.jaywood.bench.Profile.Site;
import org.jaywood.wire.Address;

/**
 * Assigns the VMs of an installation to data centres and addresses.
 */
final class Layout {

	private static final int PEER_PORT = 7100;

	private static final int OPERATOR_PORT = 7101;

	private static final int UPSTREAM_PORT = 7200;

	private static final int CALLER_PORT = 8080;

	/** Added to the third octet of a real address to get the advertised one. */
	private static final int ADVERTISED_OCTET_OFFSET = 100;

	/** Last octets of router addresses start here; those of agents are lower. */
	private static final int FIRST_ROUTER_OCTET = 200;

	private final InstallationOptions options;

	private final ProcessFleet fleet;

	private final Address platform;

	private final Address store;

	private final Address network;

	private final List<Member> routers;

	private final List<Member> agents = new ArrayList<>();

	Layout(InstallationOptions options, ProcessFleet fleet) {
		this.options = options;
		this.fleet = fleet;
		this.platform = fleet.address(0, 0, 1, 7000);
		this.store = fleet.address(0, 0, 2, 7001);
		this.network = fleet.address(0, 0, 3, 7002);
		this.routers = IntStream.range(0, options.routers())
			.mapToObj((index) -> member("entry-" + index, "router", "", index, 1, FIRST_ROUTER_OCTET + index))
			.toList();
		options.profile()
			.services()
			.forEach((service) -> IntStream.range(0, service.upstreams())
				.forEach((index) -> this.agents.add(agent(service, index))));
	}

	private Member agent(ServiceShape service, int index) {
		int number = this.agents.size();
		return member(service.name() + "-" + index, "agent", service.name(), index,
				1 + number / (FIRST_ROUTER_OCTET - 1), 1 + number % (FIRST_ROUTER_OCTET - 1));
	}

	private Member member(String vm, String role, String service, int index, int thirdOctet, int lastOctet) {
		int siteIndex = index % this.options.profile().sites().size();
		Site site = this.options.profile().sites().get(siteIndex);
		Address peer = this.fleet.address(siteIndex + 1, thirdOctet, lastOctet, PEER_PORT);
		return new Member(vm, role, service, site.region(), site.dataCentre(), peer, reachableAddress(peer),
				new Address(peer.host(), OPERATOR_PORT), new Address(peer.host(), CALLER_PORT),
				new Address(peer.host(), UPSTREAM_PORT));
	}

	Address platform() {
		return this.platform;
	}

	Address store() {
		return this.store;
	}

	Address network() {
		return this.network;
	}

	List<Member> routers() {
		return this.routers;
	}

	List<Member> agents() {
		return List.copyOf(this.agents);
	}

	List<Member> members() {
		return Stream.concat(this.routers.stream(), this.agents.stream()).toList();
	}

	/**
	 * Region of the platform and the weight store.
	 */
	String platformRegion() {
		return this.options.profile().sites().getFirst().region();
	}

	/**
	 * Returns the address under which the VMs reach a process: that of the network
	 * stand-in in front of it if the stand-in is enabled, else its own.
	 */
	Address reachableAddress(Address real) {
		if (!this.options.network()) {
			return real;
		}
		String[] octets = real.host().split("\\.");
		octets[2] = Integer.toString(Integer.parseInt(octets[2]) + ADVERTISED_OCTET_OFFSET);
		return new Address(String.join(".", octets), real.port());
	}

	/**
	 * Returns the VMs in the form that the network stand-in's topology request takes.
	 */
	List<Map<String, Object>> networkVms() {
		Stream<Map<String, Object>> platformVms = Stream.of(
				networkVm("platform", platformRegion(), "platform", 0, this.platform),
				networkVm("store", platformRegion(), "store", this.options.originBytesPerSecond(), this.store));
		Stream<Map<String, Object>> memberVms = members().stream()
			.map((member) -> networkVm(member.vm(), member.region(), member.dataCentre(),
					this.options.machineBytesPerSecond(), member.listen()));
		return Stream.concat(platformVms, memberVms).toList();
	}

	private Map<String, Object> networkVm(String vm, String region, String dataCentre, long rate, Address real) {
		return Map.of("vm", vm, "host", real.host(), "region", region, "dataCentre", dataCentre, "linkBytesPerSecond",
				rate, "listeners", List.of(Map.of("listen", reachableAddress(real), "target", real)));
	}

}
