package org.jaywood.standin;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.jaywood.event.EventLog;
import org.jaywood.standin.NetworkFault.Kind;
import org.jaywood.standin.NetworkFaults.ActiveFault;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * Stand-in of the network: a TCP proxy in front of each VM that delays and rate-limits
 * links and injects faults. The VM that opens a connection is identified by its loopback
 * address.
 */
public final class NetworkStandin implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 1024 * 1024;

	private static final int MAX_PENDING_CONNECTIONS = 1024;

	/** Limits the bytes that the kernel buffers for a receiver that does not read. */
	private static final int SOCKET_BUFFER_BYTES = 64 * 1024;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private final NetworkTopology topology = new NetworkTopology();

	private final NetworkFaults faults = new NetworkFaults();

	private final Map<Address, ServerSocket> listeners = new ConcurrentHashMap<>();

	private final Set<NetworkConnection> openConnections = ConcurrentHashMap.newKeySet();

	private final AtomicLong openedConnections = new AtomicLong();

	private final AtomicLong refusedConnections = new AtomicLong();

	private final HttpPort port;

	public NetworkStandin(Address address, EventLog log) {
		this.port = HttpPort.open(address, log)
			.route("POST", "/control/topology", this::changeTopology)
			.route("POST", "/control/faults", this::addFault)
			.route("DELETE", "/control/faults/", this::removeFault)
			.route("GET", "/record", (exchange) -> exchange.respondJson(200, record()))
			.start();
	}

	public Address address() {
		return this.port.address();
	}

	private void changeTopology(Exchange exchange) throws IOException {
		NetworkTopology.Change change = exchange.readJson(NetworkTopology.Change.class, BODY_LIMIT_BYTES);
		if (change.links() != null) {
			this.topology.setLinks(change.links());
		}
		if (change.vms() != null) {
			for (NetworkVm vm : change.vms()) {
				this.topology.add(vm);
				for (NetworkVm.Listener listener : vm.listeners()) {
					listen(vm, listener);
				}
			}
		}
		exchange.respondJson(200, Map.of("listeners", this.listeners.size()));
	}

	private void listen(NetworkVm vm, NetworkVm.Listener listener) throws IOException {
		if (this.listeners.containsKey(listener.listen())) {
			return;
		}
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
		server.bind(listener.listen().socketAddress(), MAX_PENDING_CONNECTIONS);
		this.listeners.put(listener.listen(), server);
		Thread.startVirtualThread(() -> accept(server, vm.host(), listener.target()));
	}

	private void accept(ServerSocket server, String acceptorHost, Address target) {
		while (!server.isClosed()) {
			try {
				Socket openerSocket = server.accept();
				Thread.startVirtualThread(() -> forward(openerSocket, acceptorHost, target));
			}
			catch (IOException ex) {
				// The listener was closed, or the connection failed before it was
				// accepted.
			}
		}
	}

	private void forward(Socket openerSocket, String acceptorHost, Address target) {
		NetworkVm opener = this.topology.vmAt(openerSocket.getInetAddress().getHostAddress());
		NetworkVm acceptor = this.topology.vmAt(acceptorHost);
		Socket targetSocket = new Socket();
		try {
			if (isCut(opener, acceptor)) {
				throw new IOException("cut");
			}
			openerSocket.setSendBufferSize(SOCKET_BUFFER_BYTES);
			targetSocket.setSendBufferSize(SOCKET_BUFFER_BYTES);
			targetSocket.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
			targetSocket.connect(target.socketAddress(), CONNECT_TIMEOUT_MILLIS);
			run(new NetworkConnection(opener, acceptor, openerSocket, targetSocket));
		}
		catch (IOException ex) {
			this.refusedConnections.incrementAndGet();
			NetworkConnection.close(openerSocket, true);
			NetworkConnection.close(targetSocket, true);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run(NetworkConnection connection) throws InterruptedException {
		this.openedConnections.incrementAndGet();
		this.openConnections.add(connection);
		try {
			// A CUT fault added after the first check did not find this connection, so
			// it is reset here.
			if (isCut(connection.opener(), connection.acceptor())) {
				connection.reset();
			}
			connection.run(this.topology, this.faults);
		}
		finally {
			this.openConnections.remove(connection);
		}
	}

	private boolean isCut(NetworkVm opener, NetworkVm acceptor) {
		return this.faults.matching(Kind.CUT, opener, acceptor).findAny().isPresent();
	}

	private void addFault(Exchange exchange) throws IOException {
		NetworkFault fault = exchange.readJson(NetworkFault.class, BODY_LIMIT_BYTES);
		if (fault.kind() == null) {
			exchange.respondError(400, "a fault needs a kind");
			return;
		}
		ActiveFault added = this.faults.add(fault);
		if (fault.kind() == Kind.CUT) {
			this.openConnections.stream()
				.filter((connection) -> fault.appliesTo(connection.opener(), connection.acceptor()))
				.forEach(NetworkConnection::reset);
		}
		exchange.respondJson(200, Map.of("id", added.id()));
	}

	private void removeFault(Exchange exchange) throws IOException {
		boolean removed = this.faults.remove(exchange.lastSegment());
		exchange.respondJson(removed ? 200 : 404, Map.of("removed", removed));
	}

	private Map<String, Object> record() {
		return Map.of("traffic", this.topology.byteCounts(), "faults", this.faults.record(), "connections",
				Map.of("opened", this.openedConnections.get(), "open", this.openConnections.size(), "refused",
						this.refusedConnections.get()));
	}

	@Override
	public void close() {
		this.port.close();
		this.listeners.values().forEach(NetworkStandin::close);
		this.openConnections.forEach(NetworkConnection::reset);
	}

	private static void close(ServerSocket server) {
		try {
			server.close();
		}
		catch (IOException ex) {
			// The listener is not used again.
		}
	}

}
