package review;

import java.util.List;

/**
 * After a loss of power of all machines, the origin of weights is down for some seconds
 * while two further versions are named, so that the one in download is two back.
 */
final class OutdatedDownload {

	private static final double DOWN_SECONDS = 0.95;

	private static final double ORIGIN_DOWN_SECONDS = 5.95;

	/** Times after the return of the machines at which the next versions are named. */
	private static final double NEXT_VERSION_SECONDS = 5;

	private static final double LAST_VERSION_SECONDS = 5.4;

	private static final double RECOVERY_SECONDS = 12;

	private static final double MEASURED_SECONDS = 30;

	private OutdatedDownload() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, 2, 3, OutdatedDownload::play);
	}

	private static boolean play(Deployment deployment, boolean trouble, Trace trace) {
		deployment.engines().forEach((engine) -> engine.start(1));
		deployment.startProcesses();
		deployment.awaitReady(30);
		try (Client client = new Client(deployment.gatewayAddresses(), Deployment.HOST, Deployment.KEY, 0.2, trace)) {
			client.start();
			Pause.until("requests are served", 15, () -> client.served() >= 5);
			double steadySeconds = trace.nowSeconds();
			Pause.seconds(5);
			double faultSeconds = trace.nowSeconds();
			deployment.killProcesses();
			deployment.engines().forEach(Engine::losePower);
			Pause.seconds(DOWN_SECONDS);
			double originDownSeconds = trace.nowSeconds();
			if (trouble) {
				deployment.origin().stop();
				trace.say("the origin is down");
			}
			deployment.engines().forEach((engine) -> engine.start(0));
			deployment.startProcesses();
			double backSeconds = trace.nowSeconds();
			trace.say("all machines are back");
			Pause.seconds(NEXT_VERSION_SECONDS);
			deployment.nameVersion(2);
			Pause.seconds(LAST_VERSION_SECONDS - NEXT_VERSION_SECONDS);
			deployment.nameVersion(3);
			Pause.seconds(originDownSeconds + ORIGIN_DOWN_SECONDS - trace.nowSeconds());
			if (trouble) {
				deployment.origin().start();
				trace.say("the origin is up");
			}
			Pause.seconds(backSeconds + RECOVERY_SECONDS + MEASURED_SECONDS + 2 - trace.nowSeconds());
			long before = client.servedPercent(steadySeconds, faultSeconds - 1);
			long after = client.servedPercent(backSeconds + RECOVERY_SECONDS,
					backSeconds + RECOVERY_SECONDS + MEASURED_SECONDS);
			trace.say("served before the fault: %d in 100; later than %.0f s after it, for %.0f s: %d in 100", before,
					RECOVERY_SECONDS, MEASURED_SECONDS, after);
			deployment.recordLogs(List.of("CHUNK_CORRUPT", "CHUNK_FETCH_FAILED", "TRANSFER_PROGRESS"), 3);
			if (before < 25) {
				throw new CannotRunException("too few requests were served before the fault");
			}
			return after >= 25;
		}
	}

}
