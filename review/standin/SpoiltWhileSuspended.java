package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * A machine is suspended while its replica compares the staged chunks with the verified ones, and
 * some of the staged chunks turn bad meanwhile.
 */
final class SpoiltWhileSuspended {

	private static final int ENGINES = 2;

	/** Calls that stage a version at an engine that holds another one: a read and a write. */
	private static final int STAGE_CALLS = 2 * Weights.CHUNKS;

	/** Share of the staged chunks that turn bad. */
	private static final double BAD_SHARE = 0.06;

	private static final double SUSPENDED_SECONDS = 3.95;

	private static final double ENGINE_LEAD_SECONDS = 0.05;

	private SpoiltWhileSuspended() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, 1, ENGINES, SpoiltWhileSuspended::play);
	}

	private static boolean play(Deployment deployment, boolean trouble, Trace trace) {
		deployment.engines().forEach((engine) -> engine.start(1));
		deployment.startProcesses();
		deployment.awaitReady(30);
		try (Client client = new Client(deployment.gatewayAddresses(), Deployment.HOST, Deployment.KEY, 0.2, trace)) {
			client.start();
			Pause.until("requests are served", 15, () -> client.served() >= 5);
			Engine engine = deployment.engine(0);
			int callsBefore = engine.stageCalls();
			deployment.nameVersion(2);
			Pause.until("engine 0 is staged", 40, () -> engine.stageCalls() >= callsBefore + 1 + STAGE_CALLS / 2);
			if (trouble) {
				suspend(deployment, engine);
			}
			Pause.until("engine 0 holds version 2", 40, () -> engine.version() == 2);
			long served = client.served();
			Pause.until("requests are served afterwards", 15, () -> client.served() >= served + 20);
		}
		deployment.recordLogs(List.of("PIECES_STAGED", "ORDER_ACCEPTED", "WEIGHTS_ACTIVATED"), 4);
		int bad = deployment.engines().stream().mapToInt(Engine::tokenEventsOfBadWeights).sum();
		trace.say("events made with a layer whose chunk had been bad for over 3 s when it was taken: %d", bad);
		return bad == 0;
	}

	/**
	 * Suspends the machine. A signal stops the replica, whose steady clock would not count
	 * that time on a suspended machine, so the engine goes on a little earlier: no time-out
	 * of the replica runs out at its resumption.
	 */
	private static void suspend(Deployment deployment, Engine engine) {
		deployment.signal(Deployment.replica(0), "STOP");
		engine.suspend();
		Pause.seconds(0.1);
		List<Integer> indexes = new ArrayList<>(IntStream.range(0, Weights.CHUNKS).boxed().toList());
		Collections.shuffle(indexes, new Random());
		engine.spoilStaged(indexes.subList(0, (int) (BAD_SHARE * Weights.CHUNKS)).stream().sorted().toList());
		Pause.seconds(SUSPENDED_SECONDS - 0.1 - ENGINE_LEAD_SECONDS);
		engine.resume();
		Pause.seconds(ENGINE_LEAD_SECONDS);
		deployment.signal(Deployment.replica(0), "CONT");
	}

}
