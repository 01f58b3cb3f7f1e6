package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;

/**
 * Runs one case and exits with 1 if the rule was broken, 0 if it held and 2 if the case
 * could not be played. The environment variable TROUBLE=0 leaves out the disruption.
 */
final class Case {

	private static final long MAX_MILLIS = 110_000;

	private Case() {
	}

	/**
	 * The steps of a case.
	 */
	interface Steps {

		/**
		 * Plays the case.
		 * @param trouble whether to play the disruption
		 * @return whether the rule was kept
		 */
		boolean play(Deployment deployment, boolean trouble, Trace trace);

	}

	static void run(String[] arguments, int gateways, int engines, Steps steps) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Trace trace = new Trace(Path.of(arguments[0], "record.txt"))) {
			trace.say("%s the disruption", trouble ? "with" : "without");
			status = play(gateways, engines, steps, trouble, trace);
		}
		System.exit(status);
	}

	private static int play(int gateways, int engines, Steps steps, boolean trouble, Trace trace) {
		Timer timer = new Timer(true);
		try (Deployment deployment = new Deployment(gateways, engines, trace)) {
			return play(deployment, steps, trouble, timer, trace);
		}
		finally {
			timer.cancel();
		}
	}

	private static int play(Deployment deployment, Steps steps, boolean trouble, Timer timer, Trace trace) {
		Thread stop = new Thread(deployment::close);
		try {
			Runtime.getRuntime().addShutdownHook(stop);
			timer.schedule(new TimerTask() {

				@Override
				public void run() {
					deployment.close();
					Runtime.getRuntime().halt(2);
				}

			}, MAX_MILLIS);
			boolean kept = steps.play(deployment, trouble, trace);
			trace.say("%s", kept ? "the rule was kept" : "the rule was BROKEN");
			return kept ? 0 : 1;
		}
		catch (CannotRunException ex) {
			deployment.recordLogs(List.of(""), 40);
			trace.say("cannot run: %s", ex.getMessage());
			return 2;
		}
		finally {
			Runtime.getRuntime().removeShutdownHook(stop);
		}
	}

}
