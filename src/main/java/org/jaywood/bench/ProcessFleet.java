package org.jaywood.bench;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * The processes that an experiment started. Closing it ends all of them, and only them.
 */
public final class ProcessFleet implements AutoCloseable {

	/** Second octets of a block: one for each region. */
	private static final int BLOCK_SIZE = 10;

	private static final int BLOCKS = 23;

	private static final int LOCK_PORT = 6999;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Path logDirectory;

	private final String java;

	private final String classPath;

	private final ServerSocket blockLock;

	private final int block;

	/**
	 * Creates a fleet with a block of loopback addresses of its own, so that several can
	 * run beside each other.
	 */
	public ProcessFleet() throws IOException {
		this.blockLock = lockBlock();
		this.block = this.blockLock.getInetAddress().getAddress()[1] & 0xff;
		this.logDirectory = Files.createTempDirectory("jaywood-");
		this.java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		this.classPath = System.getProperty("jaywood.jar", System.getProperty("java.class.path"));
	}

	private static ServerSocket lockBlock() throws IOException {
		int first = ThreadLocalRandom.current().nextInt(BLOCKS);
		for (int i = 0; i < BLOCKS; i++) {
			int candidate = BLOCK_SIZE * (1 + (first + i) % BLOCKS);
			try {
				return new ServerSocket(LOCK_PORT, 1, InetAddress.getByName("127." + candidate + ".0.1"));
			}
			catch (BindException ex) {
				// Another fleet uses this block.
			}
		}
		throw new IOException("all blocks of loopback addresses are in use");
	}

	/**
	 * Address of a VM within the block of this fleet.
	 * @param region region, 0 to 9
	 * @param dataCentre data centre, 0 to 255
	 * @param vm number of the VM, 1 to 254
	 * @param port port
	 */
	public Address address(int region, int dataCentre, int vm, int port) {
		return new Address("127." + (this.block + region) + "." + dataCentre + "." + vm, port);
	}

	public Path logDirectory() {
		return this.logDirectory;
	}

	/**
	 * Starts a program of the project in its own process.
	 * @param name unique name, also of its log file
	 * @param arguments command and options
	 */
	public Process start(String name, String... arguments) throws IOException {
		List<String> command = new ArrayList<>(
				List.of(this.java, "-XX:+UseSerialGC", "-Xmx96m", "-Xss512k", "-XX:TieredStopAtLevel=1",
						"-XX:ReservedCodeCacheSize=32m", "-cp", this.classPath, "org.jaywood.cli.Jaywood"));
		command.addAll(List.of(arguments));
		File logFile = this.logDirectory.resolve(name + ".log").toFile();
		Process process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(Redirect.appendTo(logFile))
			.start();
		this.processes.put(name, process);
		return process;
	}

	public @Nullable Process process(String name) {
		return this.processes.get(name);
	}

	@Override
	public void close() {
		this.processes.values().forEach(Process::destroyForcibly);
		this.processes.values().forEach((process) -> {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		try {
			this.blockLock.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
