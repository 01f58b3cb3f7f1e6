package org.jaywood.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.IntStream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

import org.jaywood.event.EventLog;
import org.jaywood.gateway.Gateway;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.ResponseLimits;
import org.jaywood.platform.MetadataStoreClient;
import org.jaywood.platform.PlatformCalls;
import org.jaywood.platform.PlatformEngineClient;
import org.jaywood.platform.PlatformFeeds;
import org.jaywood.platform.PlatformSettings;
import org.jaywood.replica.Replica;
import org.jaywood.wire.Address;

/**
 * Command that starts a gateway and a replica in this process, with a stub server in
 * place of the platform and the upstreams, and makes some calls. The build runs it once
 * to record which classes the daemons need, so that they start from a class archive. This
 * shortens their start: after a failure of all VMs, no call is served while processes
 * start.
 */
@Parameters(commandDescription = "Starts a gateway and a replica once with a stub server, for the build", hidden = true)
final class RehearseCommand implements Command {

	private static final String CLASS_SUFFIX = ".class";

	private static final String LOOPBACK = "127.0.0.1";

	/** Pattern of the daemon classes in the jar. */
	private static final String DAEMON_CLASSES = "org/jaywood/(event|feed|gateway|http|leader|metering|platform|replica|routing|scaling|wire)/\\w.*";

	private static final int PORT_COUNT = 4;

	private static final int CALL_PAIRS = 40;

	/** Time in which a gateway receives routes and upstreams even on a busy machine. */
	private static final long START_TIMEOUT_MILLIS = 30_000;

	private static final long RETRY_DELAY_MILLIS = 100;

	private static final ResponseLimits CALL_LIMITS = new ResponseLimits(2_000, 64 * 1024);

	@Parameter(names = "--directory", description = "Directory of the settings and response files", required = true)
	private Path directory = Path.of("");

	private int answeredCalls;

	@Override
	public String name() {
		return "rehearse";
	}

	@Override
	public int run() throws Exception {
		EventLog log = new EventLog("rehearsal");
		loadClasses();
		List<Integer> ports = freePorts();
		try (StubServer stubServer = new StubServer(this.directory, log)) {
			PlatformSettings settings = settings(stubServer.address(), ports);
			PlatformFeeds feeds = new PlatformFeeds(new MetadataStoreClient(settings.store()), settings.regions(), log);
			PlatformEngineClient engine = new PlatformEngineClient(settings.replica().engine());
			new Replica(settings.replica(), engine, engine, feeds.replica(), log).start();
			new Gateway(settings.gateway(), new PlatformCalls(), feeds.gateway(), feeds.trialLeases(), log).start();
			awaitFirstAnswer(settings.gateway().callerAddress());
			call(settings.gateway().callerAddress());
		}
		System.out.println("rehearsal: " + this.answeredCalls + " calls answered");
		return (this.answeredCalls > 0) ? 0 : 1;
	}

	private void awaitFirstAnswer(Address caller) throws IOException, InterruptedException {
		ConnectionPool pool = new ConnectionPool();
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
		while (this.answeredCalls == 0 && System.nanoTime() < deadlineNanos) {
			call(pool, caller, new BasicClassicHttpRequest("POST", "/stream/"), "prompt");
			Thread.sleep(RETRY_DELAY_MILLIS);
		}
	}

	private PlatformSettings settings(Address stub, List<Integer> ports) throws IOException {
		String text = Files.readString(this.directory.resolve("node.toml"))
			.replace("{prepared}", Integer.toString(stub.port()))
			.replace("{front}", ports.get(0).toString())
			.replace("{ready}", ports.get(1).toString())
			.replace("{agent}", ports.get(2).toString())
			.replace("{operator}", ports.get(3).toString());
		return PlatformSettings.parse(text);
	}

	private void call(Address caller) throws IOException {
		ConnectionPool pool = new ConnectionPool();
		for (int i = 0; i < CALL_PAIRS; i++) {
			call(pool, caller, new BasicClassicHttpRequest("POST", "/stream/"), "prompt");
			call(pool, caller, new BasicClassicHttpRequest("GET", "/plain/"), "");
		}
	}

	private void call(ConnectionPool pool, Address caller, BasicClassicHttpRequest request, String body)
			throws IOException {
		request.setHeader("Authorization", "Bearer key");
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		this.answeredCalls += pool.exchange(caller, request, bytes, CALL_LIMITS).ok() ? 1 : 0;
	}

	/**
	 * Loads all daemon classes, because some are otherwise loaded only on failures.
	 */
	private static void loadClasses() throws IOException, ClassNotFoundException {
		Path source = Path.of(System.getProperty("java.class.path"));
		if (!Files.isRegularFile(source)) {
			return;
		}
		try (JarFile jar = new JarFile(source.toFile())) {
			List<String> names = jar.stream()
				.map(JarEntry::getName)
				.filter((name) -> name.matches(DAEMON_CLASSES) && name.endsWith(CLASS_SUFFIX)
						&& !name.endsWith("-info" + CLASS_SUFFIX))
				.map((name) -> name.substring(0, name.length() - CLASS_SUFFIX.length()).replace('/', '.'))
				.toList();
			for (String name : names) {
				Class.forName(name, false, RehearseCommand.class.getClassLoader());
			}
		}
	}

	private static List<Integer> freePorts() throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < PORT_COUNT; i++) {
				sockets.add(new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)));
			}
			return IntStream.range(0, PORT_COUNT).map((index) -> sockets.get(index).getLocalPort()).boxed().toList();
		}
		finally {
			for (ServerSocket socket : sockets) {
				socket.close();
			}
		}
	}

}
