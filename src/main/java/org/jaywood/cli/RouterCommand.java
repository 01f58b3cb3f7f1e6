package org.jaywood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import org.jaywood.event.EventLog;
import org.jaywood.router.Router;
import org.jaywood.router.RouterSettings;
import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;

/**
 * Command that runs a router.
 */
@Parameters(commandDescription = "Runs a router on an entry VM")
@SuppressWarnings("NullAway.Init")
final class RouterCommand implements Command {

	@ParametersDelegate
	private final NodeOptions node = new NodeOptions();

	@Parameter(names = "--caller", required = true, converter = Converters.AddressConverter.class,
			description = "Caller port, ip:port")
	private Address caller;

	@Override
	public String name() {
		return "router";
	}

	@Override
	public int run() throws InterruptedException {
		RouterSettings settings = new RouterSettings(this.node.vm, this.node.region, this.node.dataCentre, this.caller,
				this.node.listen, this.node.advertised(), this.node.operator, this.node.platform,
				Credential.parse(this.node.credential), this.node.drainMillis);
		Router router = new Router(settings, new EventLog(this.node.vm));
		return Daemon.run(router::start, router::drain);
	}

}
