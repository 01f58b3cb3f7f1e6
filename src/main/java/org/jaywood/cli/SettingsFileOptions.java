package org.jaywood.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.AsyncLogHandler;
import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.platform.MetadataStoreClient;
import org.jaywood.platform.PlatformFeeds;
import org.jaywood.platform.PlatformSettings;

/**
 * Options for the settings file of a process on the operators' platform.
 */
final class SettingsFileOptions {

	@Parameter(names = "--node-file", description = "Path of the settings file")
	private @Nullable String nodeFile;

	private String lastText = "";

	/**
	 * Reads the settings file, whose path is the value of the option or of the platform's
	 * environment variable.
	 */
	PlatformSettings read() throws IOException {
		this.lastText = Files.readString(path());
		return PlatformSettings.read(path());
	}

	EventLog log(PlatformSettings settings) {
		AsyncLogHandler.install();
		return new EventLog(settings.vm());
	}

	PlatformFeeds feeds(PlatformSettings settings, EventLog log) {
		return new PlatformFeeds(new MetadataStoreClient(settings.store()), settings.regions(), log);
	}

	/**
	 * Logs on each SIGHUP whether the file has changed.
	 */
	void logChangesOnSignal(EventLog log) {
		ReloadSignal.setAction(() -> logChange(log));
	}

	private synchronized void logChange(EventLog log) {
		try {
			String currentText = Files.readString(path());
			log.log(Event.SETTINGS_RELOADED, "change",
					currentText.equals(this.lastText) ? "nothing changed" : "file changed");
			this.lastText = currentText;
		}
		catch (IOException ex) {
			log.log(Event.SETTINGS_RELOADED, "change", "the file cannot be read: " + ex.getMessage());
		}
	}

	private Path path() {
		String name = (this.nodeFile != null) ? this.nodeFile : System.getenv(PlatformSettings.FILE_VARIABLE);
		if (name == null) {
			throw new ParameterException("no settings file: give --node-file or set " + PlatformSettings.FILE_VARIABLE);
		}
		return Path.of(name);
	}

}
