package org.jaywood.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import org.jaywood.event.EventLog;
import org.jaywood.platform.PlatformEngineClient;
import org.jaywood.platform.PlatformSettings;
import org.jaywood.replica.Replica;

/**
 * Command that runs the agent of an engine on the operators' platform.
 */
@Parameters(commandDescription = "Keeps the engine of this VM at its target version, using a settings file")
final class ReplicaCommand implements Command {

	@ParametersDelegate
	private final SettingsFileOptions file = new SettingsFileOptions();

	@Override
	public String name() {
		return "replica";
	}

	@Override
	public boolean handlesReloadSignal() {
		return true;
	}

	@Override
	public int run() throws Exception {
		PlatformSettings settings = this.file.read();
		EventLog log = this.file.log(settings);
		PlatformEngineClient engine = new PlatformEngineClient(settings.replica().engine());
		Replica replica = new Replica(settings.replica(), engine, engine, this.file.feeds(settings, log).replica(),
				log);
		this.file.logChangesOnSignal(log);
		return Daemon.run(replica::start, replica::drain);
	}

}
