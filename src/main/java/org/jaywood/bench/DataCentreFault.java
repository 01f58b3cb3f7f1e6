package org.jaywood.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import org.jaywood.bench.Installation.Member;

/**
 * What fails while a data centre is taken out of service.
 */
public enum DataCentreFault {

	/** Nothing. */
	NONE,

	/** One router loses all packets to and from the platform before the apply. */
	ROUTER_CUT,

	/** The platform is down from the return of the apply on. */
	PLATFORM_DOWN,

	/**
	 * One router loses all packets to and from the platform, and an agent of another data
	 * centre is killed.
	 */
	ROUTER_CUT_AND_AGENT_KILLED;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	/**
	 * Finds a fault.
	 * @param text name as {@link #text} gives it
	 */
	public static DataCentreFault named(String text) {
		return Arrays.stream(values())
			.filter((fault) -> fault.text().equals(text))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("fault '" + text + "' is not allowed: expected "
					+ Arrays.stream(values()).map(DataCentreFault::text).collect(Collectors.joining(", "))));
	}

	/**
	 * Name on the command line, for example {@code router-cut}.
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	void beforeApply(Installation installation) throws IOException, InterruptedException {
		if (this == ROUTER_CUT || this == ROUTER_CUT_AND_AGENT_KILLED) {
			installation.network().partition(installation.routers().getLast().vm(), "platform");
		}
	}

	void afterApply(Installation installation) throws IOException, InterruptedException {
		if (this == PLATFORM_DOWN) {
			setPlatformDown(installation, true);
		}
		else if (this == ROUTER_CUT_AND_AGENT_KILLED) {
			installation.fleet().kill(killedAgent(installation).vm());
		}
	}

	/**
	 * Ends what a return of the data centre needs ended. A router stays cut.
	 */
	void beforeReturn(Installation installation) throws IOException, InterruptedException {
		if (this == PLATFORM_DOWN) {
			setPlatformDown(installation, false);
		}
		else if (this == ROUTER_CUT_AND_AGENT_KILLED) {
			installation.startProcess(killedAgent(installation));
		}
	}

	/**
	 * An agent of the first data centre; the last one is taken out.
	 */
	private static Member killedAgent(Installation installation) {
		return installation.agentsOf(installation.profile().model().name()).getFirst();
	}

	private static void setPlatformDown(Installation installation, boolean down)
			throws IOException, InterruptedException {
		installation.client().post(installation.platform().uri("/control"), Map.of("down", down), TIMEOUT);
	}

}
