package review;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

/**
 * Clients with large heads keep their connections to two gateways, and 1.7 times as many
 * come for some seconds, three times. A gateway that ends by itself is started again.
 */
final class CrowdedGateway {

	private static final int GATEWAYS = 2;

	/** Clients of each gateway, each with one connection. */
	private static final int CLIENTS = 1_400;

	private static final double REQUEST_INTERVAL_SECONDS = 3;

	/** Traffic during a burst relative to the usual one. */
	private static final double BURST_FACTOR = 1.7;

	private static final double BURST_SECONDS = 3;

	private static final double BURST_INTERVAL_SECONDS = 16;

	private static final int BURSTS = 5;

	/** Four fifths of the configured idle time-out. */
	private static final double IDLE_SECONDS = 12;

	/** Size of a header that clients send, so that their heads stay below 16,384 bytes. */
	private static final int HEADER_BYTES = 15_800;

	private static final double RESTART_SECONDS = 0.5;

	/** Ends of the processes of two machines that break the rule. */
	private static final int MAX_ENDS = 3;

	private CrowdedGateway() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, GATEWAYS, 1, CrowdedGateway::play);
	}

	private static boolean play(Deployment deployment, boolean trouble, Trace trace) {
		deployment.engines().forEach((engine) -> engine.start(1));
		PlainServer server = deployment.startPlainServer();
		deployment.startProcesses();
		deployment.awaitReady(30);
		Run run = new Run(trace);
		for (int number = 0; number < GATEWAYS; number++) {
			int gateway = number;
			String address = deployment.gatewayAddresses().get(number);
			Thread.ofVirtual().start(() -> restartOnEnd(deployment, run, gateway));
			Thread.ofVirtual().start(() -> startClients(run, gateway, address));
		}
		Pause.seconds(12);
		run.report("before the bursts");
		for (int burst = 1; burst <= BURSTS; burst++) {
			if (trouble) {
				trace.say("burst %d", burst);
				deployment.gatewayAddresses().forEach((address) -> startBurst(run, address));
			}
			Pause.seconds(BURST_INTERVAL_SECONDS);
			run.report("after " + (trouble ? "burst " + burst : "a pause"));
		}
		run.closed = true;
		deployment.recordLogs(List.of("OutOfMemoryError", "PROCESS_STARTED"), 8);
		server.close();
		long machines = run.ends().filter((ends) -> ends >= MAX_ENDS).count();
		trace.say("machines whose process ended by itself three times or more: %d of 3 in use", machines);
		return machines < 2;
	}

	private static void restartOnEnd(Deployment deployment, Run run, int gateway) {
		while (!run.closed) {
			if (deployment.hasEnded(Deployment.gateway(gateway))) {
				run.ends[gateway].incrementAndGet();
				run.trace.say("gateway-%d has ended by itself, with %d clients connected", gateway,
						run.connected[gateway].get());
				Pause.seconds(RESTART_SECONDS);
				deployment.startGateway(gateway);
			}
			Pause.seconds(0.1);
		}
	}

	private static void startClients(Run run, int gateway, String address) {
		for (int number = 0; number < CLIENTS; number++) {
			String client = String.format("%x%04x", gateway, number);
			Thread.ofVirtual().start(() -> keepCalling(run, gateway, client, address));
			Pause.seconds(REQUEST_INTERVAL_SECONDS / CLIENTS);
		}
	}

	private static void keepCalling(Run run, int gateway, String client, String address) {
		Random random = new Random();
		for (int number = 0; !run.closed;) {
			try (KeptConnection connection = new KeptConnection(address)) {
				run.connected[gateway].incrementAndGet();
				try {
					while (!run.closed) {
						run.count(connection.get("/lookups/a", client + String.format("%05x", number++), HEADER_BYTES));
						Pause.seconds(REQUEST_INTERVAL_SECONDS);
					}
				}
				finally {
					run.connected[gateway].decrementAndGet();
				}
			}
			catch (IOException | RuntimeException ex) {
				run.trace.log("client %s: %s", client, ex);
				Pause.seconds(1 + 2 * random.nextDouble());
			}
		}
	}

	/**
	 * Starts the further clients of a burst, which send one request each and keep their
	 * connections for as long as clients do.
	 */
	private static void startBurst(Run run, String address) {
		double perSecond = (BURST_FACTOR - 1) * CLIENTS / REQUEST_INTERVAL_SECONDS;
		int clients = (int) Math.round(perSecond * BURST_SECONDS);
		Thread.ofVirtual().start(() -> {
			for (int number = 0; number < clients && !run.closed; number++) {
				String id = String.format("f%09x", run.burstClients.incrementAndGet());
				Thread.ofVirtual().start(() -> callOnce(run, id, address));
				Pause.seconds(1 / perSecond);
			}
		});
	}

	private static void callOnce(Run run, String id, String address) {
		try (KeptConnection connection = new KeptConnection(address)) {
			run.count(connection.get("/lookups/a", id, HEADER_BYTES));
			Pause.seconds(IDLE_SECONDS);
		}
		catch (IOException | RuntimeException ex) {
			run.trace.log("client %s: %s", id, ex);
		}
	}

	/** State that the clients of one run share. */
	private static final class Run {

		private final Trace trace;

		private final AtomicInteger[] ends = { new AtomicInteger(), new AtomicInteger() };

		private final AtomicInteger[] connected = { new AtomicInteger(), new AtomicInteger() };

		private final AtomicInteger served = new AtomicInteger();

		private final AtomicInteger refused = new AtomicInteger();

		private final AtomicInteger burstClients = new AtomicInteger();

		private volatile boolean closed;

		Run(Trace trace) {
			this.trace = trace;
		}

		void count(int status) {
			((status == 200) ? this.served : this.refused).incrementAndGet();
		}

		LongStream ends() {
			return Arrays.stream(this.ends).mapToLong(AtomicInteger::get);
		}

		void report(String when) {
			this.trace.say("%s: %d answered 200, %d otherwise; usual clients connected: %d and %d", when,
					this.served.get(), this.refused.get(), this.connected[0].get(), this.connected[1].get());
		}

	}

}
