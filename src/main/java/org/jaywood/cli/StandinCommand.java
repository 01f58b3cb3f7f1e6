package org.jaywood.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.standin.EngineOptions;
import org.jaywood.standin.EngineStandin;
import org.jaywood.standin.NetworkStandin;
import org.jaywood.standin.PlatformStandin;
import org.jaywood.standin.ServiceStandin;
import org.jaywood.standin.WeightStoreStandin;
import org.jaywood.wire.Address;

/**
 * Command that runs a stand-in of an external system.
 */
@Parameters(commandDescription = "Runs a stand-in: platform, store, engine, service or network")
@SuppressWarnings("NullAway.Init")
final class StandinCommand implements Command {

	@Parameter(description = "platform|store|engine|service|network", required = true)
	private List<String> kinds = new ArrayList<>();

	@Parameter(names = "--listen", required = true, converter = Converters.AddressConverter.class,
			description = "Address to listen on, ip:port")
	private Address listen;

	@Parameter(names = "--token-millis", description = "Time that an engine takes for each token, in milliseconds")
	private long tokenMillis = EngineOptions.DEFAULT.tokenMillis();

	@Parameter(names = "--cold-limit", description = "Largest number of concurrent calls of a cold engine")
	private int coldLimit = EngineOptions.DEFAULT.coldLimit();

	@Parameter(names = "--max-concurrency", description = "Largest number of concurrent calls of a warm engine")
	private int maxConcurrency = EngineOptions.DEFAULT.maxConcurrency();

	@Parameter(names = "--memory-bytes", description = "Memory of an engine for its calls in bytes")
	private long memoryBytes = EngineOptions.DEFAULT.memoryBytes();

	@Parameter(names = "--warm-after", description = "Calls that a cold engine must complete to become warm")
	private int warmAfter = EngineOptions.DEFAULT.warmAfter();

	@Override
	public String name() {
		return "standin";
	}

	@Override
	public int run() throws InterruptedException {
		String name = this.kinds.getFirst();
		EventLog log = new EventLog(name);
		AutoCloseable standin = switch (name) {
			case "platform" -> new PlatformStandin(this.listen, log);
			case "store" -> new WeightStoreStandin(this.listen, log);
			case "engine" -> new EngineStandin(this.listen, new EngineOptions(this.tokenMillis, this.coldLimit,
					this.maxConcurrency, this.memoryBytes, this.warmAfter), log);
			case "service" -> new ServiceStandin(this.listen, log);
			case "network" -> new NetworkStandin(this.listen, log);
			default -> throw new ParameterException(
					"stand-in '" + name + "' is not allowed: expected platform, store, engine, service or network");
		};
		return Daemon.run(() -> log.log(Event.STANDIN_STARTED, "kind", name, "address", this.listen),
				(nowMillis) -> standin.close());
	}

}
