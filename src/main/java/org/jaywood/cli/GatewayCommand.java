package org.jaywood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import org.jaywood.event.EventLog;
import org.jaywood.gateway.Gateway;
import org.jaywood.gateway.GatewayLimits;
import org.jaywood.gateway.SingletonSettings;
import org.jaywood.platform.PlatformCalls;
import org.jaywood.platform.PlatformFeeds;
import org.jaywood.platform.PlatformSettings;

/**
 * Command that runs a gateway on the operators' platform.
 */
@Parameters(commandDescription = "Runs a gateway, which calls upstreams directly, using a settings file")
final class GatewayCommand implements Command {

	@ParametersDelegate
	private final SettingsFileOptions file = new SettingsFileOptions();

	@Parameter(names = "--memory-percent", converter = Converters.MemoryPercentConverter.class,
			description = "Share of the heap for what the gateway holds for others, in percent")
	private Integer memoryPercent = GatewayLimits.DEFAULT_MEMORY_PERCENT;

	@Override
	public String name() {
		return "gateway";
	}

	@Override
	public boolean handlesReloadSignal() {
		return true;
	}

	@Override
	public int run() throws Exception {
		PlatformSettings settings = this.file.read();
		EventLog log = this.file.log(settings);
		PlatformFeeds feeds = this.file.feeds(settings, log);
		SingletonSettings singletons = settings.singletons();
		Gateway gateway = new Gateway(settings.gateway(this.memoryPercent), new PlatformCalls(), feeds.gateway(),
				feeds.trialLeases(), (singletons != null) ? feeds.leaderPorts(singletons, settings.vm()) : null, log);
		this.file.logChangesOnSignal(log);
		return Daemon.run(gateway::start, gateway::drain);
	}

}
