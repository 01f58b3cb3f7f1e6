package org.jaywood.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import org.jaywood.wire.Address;

/**
 * Connections of a listening port of a process that the experiment started, and the bytes
 * in their send queues, read from the proc file system.
 *
 * @param connections established connections
 * @param sendQueueBytes bytes written by the process that its peers have not yet received
 */
public record ProcessSockets(int connections, long sendQueueBytes) {

	private static final String ESTABLISHED = "01";

	/**
	 * Reads the connections of a listening port.
	 * @param port address on which the process listens
	 */
	public static ProcessSockets of(Address port) throws IOException {
		// The JDK opens IPv6 sockets that also take IPv4 connections.
		return of(port,
				Stream
					.concat(Files.readAllLines(Path.of("/proc/net/tcp")).stream(),
							Files.readAllLines(Path.of("/proc/net/tcp6")).stream())
					.toList());
	}

	static ProcessSockets of(Address port, List<String> table) throws IOException {
		byte[] ip = InetAddress.getByName(port.host()).getAddress();
		// The kernel prints the four bytes of the address as a little-endian number.
		String local = String.format(Locale.ROOT, "%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port.port());
		List<String[]> rows = table.stream()
			.map((line) -> line.strip().split("\\s+"))
			.filter((fields) -> fields.length > 4 && fields[1].endsWith(local) && fields[3].equals(ESTABLISHED))
			.toList();
		return new ProcessSockets(rows.size(),
				rows.stream().mapToLong((fields) -> Long.parseLong(fields[4].split(":")[0], 16)).sum());
	}

}
