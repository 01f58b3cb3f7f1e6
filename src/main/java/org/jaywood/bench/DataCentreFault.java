package org.jaywood.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import org.jaywood.bench.Installation.Member;

/**
 * Fault that is injected while a data centre is out of service.
 */
public enum DataCentreFault {

	/** No fault. */
	NONE,

	/** One router loses all packets to and from the platform from before the apply on. */
	ROUTER_CUT,

	/** The platform is down from the time at which the apply returns. */
	PLATFORM_DOWN,

	/**
	 * One router loses all packets to and from the platform, and an agent of another data
	 * centre is killed.
	 */
	ROUTER_CUT_AND_AGENT_KILLED;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	/**
	 * Returns the fault of a name.
	 * @param text name as {@link #text} returns it
	 */
	public static DataCentreFault parse(String text) {
		return Arrays.stream(values())
			.filter((fault) -> fault.text().equals(text))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("fault '" + text + "' is not allowed: expected "
					+ Arrays.stream(values()).map(DataCentreFault::text).collect(Collectors.joining(", "))));
	}

	/**
	 * Returns the name on the command line, for example {@code router-cut}.
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
	 * Removes the faults that would prevent the return of the data centre. A partitioned
	 * router stays partitioned.
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
	 * Returns an agent of the first data centre, since the last data centre is taken out
	 * of service.
	 */
	private static Member killedAgent(Installation installation) {
		return installation.agentsOf(installation.profile().model().name()).getFirst();
	}

	private static void setPlatformDown(Installation installation, boolean down)
			throws IOException, InterruptedException {
		installation.client().post(installation.platform().uri("/control"), Map.of("down", down), TIMEOUT);
	}

}
