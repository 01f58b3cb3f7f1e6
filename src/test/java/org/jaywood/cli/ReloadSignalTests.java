package org.jaywood.cli;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;
import sun.misc.SignalHandler;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a SIGHUP that ends a process during its start.
 */
class ReloadSignalTests {

	private static final Signal SIGNAL = new Signal("HUP");

	private SignalHandler originalHandler;

	@BeforeEach
	void removeHandler() {
		this.originalHandler = Signal.handle(SIGNAL, SignalHandler.SIG_DFL);
	}

	@AfterEach
	void restoreHandler() {
		Signal.handle(SIGNAL, this.originalHandler);
	}

	@Test
	void handlesSignalBeforeSettingsAreRead() {
		for (String command : new String[] { "gateway", "replica" }) {
			int status = new Jaywood(Map.of()).run(command, "--node-file", "/nonexistent/settings.toml");
			assertThat(status).isEqualTo(1);
			assertThat(Signal.handle(SIGNAL, SignalHandler.SIG_DFL)).isNotEqualTo(SignalHandler.SIG_DFL);
		}
	}

	@Test
	void runsActionForSignalReceivedBeforeActionIsSet() {
		new Jaywood(Map.of()).run("gateway", "--node-file", "/nonexistent/settings.toml");
		AtomicInteger reloads = new AtomicInteger();
		ReloadSignal.onSignal();
		ReloadSignal.setAction(reloads::incrementAndGet);
		assertThat(reloads.get()).isEqualTo(1);
		ReloadSignal.onSignal();
		assertThat(reloads.get()).isEqualTo(2);
	}

	@Test
	void otherCommandsDoNotHandleSignal() {
		// A process that was started with the signal ignored must keep ignoring it.
		SignalHandler initialHandler = Signal.handle(SIGNAL, SignalHandler.SIG_DFL);
		new Jaywood(Map.of()).run("validate", "/nonexistent/deployment.yaml");
		assertThat(Signal.handle(SIGNAL, SignalHandler.SIG_DFL)).isEqualTo(initialHandler);
	}

}
