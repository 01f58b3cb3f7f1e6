package org.jaywood.agent;

import java.time.Duration;
import java.util.List;
import java.util.UUID;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ServiceKind;
import org.jaywood.config.ServiceSpec;
import org.jaywood.config.WeightsRef;
import org.jaywood.event.Event;
import org.jaywood.event.EventLog;

/**
 * Brings the engine to the weights that the configuration names: closes admission, waits
 * for running calls, orders the load and opens admission again.
 */
final class Activation {

	private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);

	private final AgentSettings settings;

	private final Admission admission;

	private final EngineClient engine;

	private final EventLog log;

	private volatile String servedWeights = "";

	Activation(AgentSettings settings, Admission admission, EngineClient engine, EventLog log) {
		this.settings = settings;
		this.admission = admission;
		this.engine = engine;
		this.log = log;
	}

	String servedWeights() {
		return this.servedWeights;
	}

	/**
	 * Forgets what the engine served, so that the next activation loads it again.
	 */
	void invalidate() {
		this.servedWeights = "";
	}

	synchronized void activate(AppliedConfiguration configuration) {
		ServiceSpec spec = configuration.deployment().services().get(this.settings.service());
		if (spec == null) {
			return;
		}
		if (spec.kind() == ServiceKind.PLAIN) {
			this.admission.open();
			return;
		}
		if (this.servedWeights.equals(spec.weightsDigest())) {
			return;
		}
		try {
			load(spec);
		}
		catch (EngineException ex) {
			this.log.log(Event.ORDER_FAILED, "order", "load", "error", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void load(ServiceSpec spec) throws InterruptedException {
		List<String> manifests = spec.weights().stream().map(WeightsRef::manifest).toList();
		this.admission.close();
		this.admission.awaitIdle(spec.limits().deadlineMillis());
		LoadOrder order = new LoadOrder("load", manifests, "http://" + this.settings.storeAddress(), 1,
				UUID.randomUUID().toString());
		EngineStatus status = this.engine.order(order, ORDER_TIMEOUT);
		if (status.weights().equals(spec.weightsDigest())) {
			this.servedWeights = status.weights();
			this.admission.open();
			this.log.log(Event.WEIGHTS_ACTIVATED, "manifest", this.servedWeights);
		}
	}

}
