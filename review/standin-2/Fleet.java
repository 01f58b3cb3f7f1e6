import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's processes, started with the commands of the deploy file, and their addresses. */
final class Fleet implements AutoCloseable {

	static final int FRONT_PORT = 8005;

	static final int READY_PORT = 8002;

	static final int ENGINE_PORT = 8001;

	private final Path repository;

	private final Path directory;

	private final String block;

	private final int maxFds;

	private final Record record;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	/**
	 * Creates a fleet without processes.
	 * @param maxFds limit of each process on descriptors, as the platform sets it
	 */
	Fleet(Path repository, Path directory, int maxFds, Record record) throws IOException {
		this.repository = repository;
		this.directory = directory;
		this.maxFds = maxFds;
		this.record = record;
		this.block = freeBlock();
		// Also ends the processes when the case itself is ended by a signal.
		Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
	}

	/** Finds loopback addresses whose ports are free. */
	private static String freeBlock() throws IOException {
		Random random = new Random();
		for (int attempt = 0; attempt < 50; attempt++) {
			String block = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
			try (ServerSocket first = new ServerSocket(7700, 1, InetAddress.getByName(block + 1));
					ServerSocket second = new ServerSocket(FRONT_PORT, 1, InetAddress.getByName(block + 2))) {
				return block;
			}
			catch (IOException ex) {
				// Another block is tried.
			}
		}
		throw new IOException("no free loopback addresses");
	}

	String host(int number) {
		return this.block + number;
	}

	String storeAddress() {
		return host(1) + ":8007";
	}

	void startGateway(int number, String zone, String region) throws IOException {
		startGateway(number, zone, region, storeAddress());
	}

	/** Starts a gateway that reaches the store at an address of its own. */
	void startGateway(int number, String zone, String region, String store) throws IOException {
		String host = host(10 + number);
		start("gateway", "gateway-" + number, settings("front-" + number, host, zone, region, """
				[Listen]
				Front = "%s:%d"
				ReadyAddress = "%s:%d"
				""".formatted(host, FRONT_PORT, host, READY_PORT), "", this.maxFds, store));
	}

	void startReplica(int number, String zone, String region, String service) throws IOException {
		String host = host(50 + number);
		start("replica", "replica-" + number, settings("side-" + number, host, zone, region, "[Listen]\n",
				"app = \"%s:%d\"\nService = \"%s\"\n".formatted(host, ENGINE_PORT, service), 1_494, storeAddress()));
	}

	private String settings(String node, String host, String zone, String region, String listen, String extra,
			int fds, String store) {
		return """
				Node = "%s"
				Ip = "%s"
				Zone = "%s"
				Region = "%s"
				PortRange = [7700,7715]
				Seeds = []
				Bootstrap = true
				Discovery = "platform"
				Entry = "vip"
				HeartbeatMs = 1200
				%s
				[Zones]
				macon-room = "ga-piedmont"
				selma-room = "al-blackbelt"
				monroe-room = "la-delta"
				%s
				[Limits]
				CpuShare = 0.57
				Cores = 1
				MemoryMb = 430
				MaxFds = %d
				LinkMbps = 1000.0
				DiskMb = 0
				[Bounds]
				ContactMs = 3000
				DrainMs = 2000
				GraceS = 8
				LossSlackMs = 200
				ConfigMs = 2000
				RollbackSlackMs = 250
				MaxStretchMs = 5000
				StrictRevoke = true
				RevokeMs = 5000
				RetryBudgetRatio = 0.2
				BudgetWindowS = 10
				BudgetExtra = 102
				ColdOverage = 1.5
				ColdSlack = 5
				EvacuateMs = 5000
				RecoveryS = 12
				PassMs = 120
				version_ms = 8000
				version_all_ms = 0
				[Platform]
				Address = "%s"
				form = "objects"
				WritesPerS = 400
				ReadsPerS = 2000
				HistoryS = 20
				""".formatted(node, host, zone, region, extra, listen, fds, store);
	}

	private void start(String role, String name, String settings) throws IOException {
		Path file = this.directory.resolve(name + ".toml");
		Files.writeString(file, settings);
		List<String> command = new ArrayList<>(
				List.of("sh", "-c", "ulimit -n " + this.maxFds + "; exec \"$@\"", "sh"));
		command.addAll(Arrays.asList(command(role).split(" ")));
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.directory(this.repository.toFile());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("JAYWOOD_NODE_FILE", file.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(
				ProcessBuilder.Redirect.appendTo(new File(this.directory.toFile(), name + ".log")));
		this.processes.put(name, builder.start());
		this.record.say("%s started, process %d", name, this.processes.get(name).pid());
	}

	private String command(String role) throws IOException {
		String text = Files.readString(this.repository.resolve("deploy/system.toml"));
		Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
		if (!matcher.find()) {
			throw new IOException("no role " + role + " in the deploy file");
		}
		return matcher.group(1);
	}

	Process process(String name) {
		return this.processes.get(name);
	}

	/** Descriptors that a process has open, for the record; -1 if unknown. */
	int descriptors(String name) {
		String[] entries = new File("/proc/" + process(name).pid() + "/fd").list();
		return (entries != null) ? entries.length : -1;
	}

	/** Kills processes, as a loss of power does. */
	void kill() {
		this.processes.forEach((name, process) -> process.destroyForcibly());
		this.processes.forEach((name, process) -> {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		this.record.say("all processes have been killed");
	}

	/** Whether a gateway answers the platform's question for its readiness with 200 within a second. */
	boolean ready(int gateway) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host(10 + gateway), READY_PORT), 1_000);
			socket.setSoTimeout(1_000);
			socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
			byte[] line = socket.getInputStream().readNBytes(12);
			return new String(line).equals("HTTP/1.1 200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean awaitReady(int gateway, long millis) {
		long endNanos = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() < endNanos) {
			if (ready(gateway)) {
				return true;
			}
			Engine.sleep(100);
		}
		return false;
	}

	@Override
	public void close() {
		kill();
		File[] files = this.directory.toFile().listFiles();
		for (File file : (files != null) ? files : new File[0]) {
			file.delete();
		}
		this.directory.toFile().delete();
	}

}
