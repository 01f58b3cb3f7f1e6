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
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * The processes that an experiment started. Closing it ends all of them, and only them;
 * they also end when this process ends in any other way.
 */
public final class ProcessFleet implements AutoCloseable {

	/** Second octets of a block: one for each region. */
	private static final int REGIONS_PER_BLOCK = 10;

	private static final int BLOCK_COUNT = 23;

	private static final int LOCK_PORT = 6999;

	/** Writing a class-data archive at the end takes a process about one second. */
	private static final long EXIT_TIMEOUT_SECONDS = 5;

	/** Longest wait for a process to stop after SIGSTOP. */
	private static final long STOP_TIMEOUT_SECONDS = 5;

	private final Map<String, Process> processes = new ConcurrentHashMap<>();

	private final List<Process> startedProcesses = new CopyOnWriteArrayList<>();

	private final List<Process> recordingProcesses = new CopyOnWriteArrayList<>();

	private final Path logDirectory;

	private final String javaExecutable;

	private final String classPath;

	private final ClassDataArchives archives;

	private final ServerSocket blockLock;

	private final int firstRegionOctet;

	private final Thread shutdownHook = new Thread(this::destroyAll, "end processes");

	/**
	 * Creates a fleet with a block of loopback addresses of its own, so that several can
	 * run beside each other.
	 */
	public ProcessFleet() throws IOException {
		this.blockLock = lockBlock();
		this.firstRegionOctet = this.blockLock.getInetAddress().getAddress()[1] & 0xff;
		this.logDirectory = Files.createTempDirectory("jaywood-");
		this.javaExecutable = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		this.classPath = System.getProperty("jaywood.jar", System.getProperty("java.class.path"));
		this.archives = new ClassDataArchives(Path.of(this.classPath), this.javaExecutable, this.logDirectory);
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	private static ServerSocket lockBlock() throws IOException {
		int first = ThreadLocalRandom.current().nextInt(BLOCK_COUNT);
		for (int i = 0; i < BLOCK_COUNT; i++) {
			int candidate = REGIONS_PER_BLOCK * (1 + (first + i) % BLOCK_COUNT);
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
		return new Address("127." + (this.firstRegionOctet + region) + "." + dataCentre + "." + vm, port);
	}

	public Path logDirectory() {
		return this.logDirectory;
	}

	/**
	 * Starts a program of the project in its own process.
	 * @param name unique name, also of its log file; an earlier process of this name must
	 * have ended
	 * @param arguments command and options
	 */
	public synchronized Process start(String name, String... arguments) throws IOException {
		Process earlier = this.processes.get(name);
		if (earlier != null && earlier.isAlive()) {
			throw new IllegalStateException(name + " still runs as process " + earlier.pid());
		}
		String program = arguments[0].equals("standin") ? arguments[1] : arguments[0];
		boolean records = this.archives.willRecord(program);
		List<String> command = new ArrayList<>(List.of(this.javaExecutable, "-XX:+UseSerialGC", "-Xms24m", "-Xmx96m",
				"-Xmn8m", "-Xss512k", "-XX:TieredStopAtLevel=1", "-XX:ReservedCodeCacheSize=32m"));
		command.addAll(this.archives.jvmOptions(program));
		command.addAll(List.of("-cp", this.classPath, "org.jaywood.cli.Jaywood", "--exit-with-parent"));
		command.addAll(List.of(arguments));
		File logFile = this.logDirectory.resolve(name + ".log").toFile();
		Process process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(Redirect.appendTo(logFile))
			.start();
		this.processes.put(name, process);
		this.startedProcesses.add(process);
		if (records) {
			this.recordingProcesses.add(process);
		}
		return process;
	}

	public @Nullable Process process(String name) {
		return this.processes.get(name);
	}

	/**
	 * Sends SIGTERM, which begins a planned stop.
	 */
	public void terminate(String name) {
		requireProcess(name).destroy();
	}

	/**
	 * Sends SIGKILL and waits for the end.
	 */
	public void kill(String name) throws InterruptedException {
		requireProcess(name).destroyForcibly().waitFor();
	}

	/**
	 * Sends SIGSTOP and waits until every thread of the process has stopped: the signal
	 * takes effect only when a thread of the process is next scheduled.
	 */
	public void pause(String name) throws IOException, InterruptedException {
		signal(name, "STOP");
		long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_TIMEOUT_SECONDS);
		while (!ProcessState.allThreadsStopped(requireProcess(name).pid())) {
			if (System.nanoTime() > untilNanos) {
				throw new IOException(name + " did not stop within " + STOP_TIMEOUT_SECONDS + " s");
			}
			Thread.onSpinWait();
		}
	}

	/**
	 * Sends SIGCONT.
	 */
	public void resume(String name) throws IOException, InterruptedException {
		signal(name, "CONT");
	}

	private void signal(String name, String signal) throws IOException, InterruptedException {
		String command = "kill -" + signal + " " + requireProcess(name).pid();
		int status = new ProcessBuilder("/bin/sh", "-c", command).inheritIO().start().waitFor();
		if (status != 0) {
			throw new IOException(command + " ended with " + status);
		}
	}

	/**
	 * Waits until a process has ended.
	 * @return its exit status; 143 means that SIGTERM ended it before it handled signals
	 */
	public int awaitExit(String name, long timeoutMillis) throws InterruptedException {
		Process process = requireProcess(name);
		if (!process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
			throw new IllegalStateException(name + " did not end within " + timeoutMillis + " ms");
		}
		return process.exitValue();
	}

	private Process requireProcess(String name) {
		Process process = this.processes.get(name);
		if (process == null) {
			throw new IllegalArgumentException("no process '" + name + "' was started");
		}
		return process;
	}

	@Override
	public void close() {
		this.startedProcesses.stream()
			.filter((process) -> !this.recordingProcesses.contains(process))
			.forEach(Process::destroyForcibly);
		this.recordingProcesses.forEach(Process::destroy);
		this.recordingProcesses.forEach((process) -> awaitEnd(process, EXIT_TIMEOUT_SECONDS));
		destroyAll();
		this.startedProcesses.forEach((process) -> awaitEnd(process, EXIT_TIMEOUT_SECONDS));
		try {
			this.archives.storeRecorded();
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
			this.blockLock.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (IllegalStateException ex) {
			// This process is ending already; the hook does no harm.
		}
	}

	private void destroyAll() {
		this.startedProcesses.forEach(Process::destroyForcibly);
	}

	private static void awaitEnd(Process process, long seconds) {
		try {
			process.waitFor(seconds, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
