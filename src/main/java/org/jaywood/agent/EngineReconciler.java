package org.jaywood.agent;

import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ServiceKind;
import org.jaywood.config.ServiceSpec;
import org.jaywood.config.WeightsRef;
import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.store.PlatformException;
import org.jaywood.weights.ChunkExchange;
import org.jaywood.wire.Address;

/**
 * Brings the engine to the weights that the configuration names. It orders a load only of
 * verified weights, only with admission closed and no call running, only under a valid
 * lease, and opens admission only when the engine itself reports exactly the wanted set.
 */
final class EngineReconciler {

	static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);

	private static final long POLL_MILLIS = 500;

	/**
	 * While the wanted set is served warm, the engine monitor reports other weights, a
	 * cold engine and a new instance. It reports a cold engine only after admission knew
	 * it as warm, so the pause is short until then. Each status costs processor time on
	 * both sides.
	 */
	private static final long SETTLED_POLL_MILLIS = 10_000;

	/** Spreads the attempts of a large service over the read rate of the platform. */
	private static final int MILLIS_PER_AGENT = 5;

	private final Supplier<AppliedConfiguration> configuration;

	private final AgentSettings settings;

	private final AdmissionController admission;

	private final EngineClient engine;

	private final ChunkExchange exchange;

	private final EngineLease lease;

	private final ActivationSlotLease slot;

	private final RunningCalls calls;

	private final WarmUp warmUp;

	private final Address source;

	private final IntSupplier agentCount;

	private final EventLog log;

	private volatile ReconcilerStatus state = new ReconcilerStatus("out", "no configuration", "", "");

	private List<String> servedManifests = List.of();

	/** Set that the engine served complete, until the next order; empty for none. */
	private String trustedWeights = "";

	private volatile boolean open;

	private boolean changed;

	EngineReconciler(AgentSettings settings, Supplier<AppliedConfiguration> configuration, Parts parts,
			IntSupplier agentCount, EventLog log) {
		this.settings = settings;
		this.configuration = configuration;
		this.admission = parts.admission();
		this.engine = parts.engine();
		this.exchange = parts.exchange();
		this.lease = parts.lease();
		this.slot = parts.slot();
		this.calls = parts.calls();
		this.warmUp = parts.warmUp();
		this.source = parts.source();
		this.agentCount = agentCount;
		this.log = log;
	}

	ReconcilerStatus state() {
		return this.admission.leaving() ? this.state.in("draining", "the agent stops") : this.state;
	}

	/**
	 * Wakes {@link #run} after a change of the configuration.
	 */
	synchronized void wake() {
		this.changed = true;
		notifyAll();
	}

	/**
	 * Notes the digest on a reply of the engine. Closes admission at once if it is not
	 * the one that admission was opened for.
	 */
	void observe(String servedDigest) {
		String served = this.state.servedWeights();
		if (!served.isEmpty() && !servedDigest.isEmpty() && !served.equals(servedDigest)) {
			mismatch(servedDigest);
			wake();
		}
	}

	/**
	 * Follows configuration and engine until interrupted.
	 */
	void run() throws InterruptedException {
		while (true) {
			long pauseMillis = POLL_MILLIS;
			try {
				pauseMillis = step();
			}
			catch (EngineException ex) {
				this.log.log(Event.ORDER_FAILED, "order", "load", "error", ex);
				out("engine: " + ex.getMessage());
			}
			catch (PlatformException ex) {
				this.log.log(Event.ACTIVATION_WAITING, "reason", ex);
				this.state = this.state.in("verified", "platform: " + ex.getMessage());
				pauseMillis = POLL_MILLIS + ThreadLocalRandom.current().nextLong(POLL_MILLIS);
			}
			catch (RuntimeException ex) {
				this.log.log(Event.TASK_FAILED, "task", "activation", "error", ex);
			}
			synchronized (this) {
				if (!this.changed) {
					TimeUnit.MILLISECONDS.timedWait(this, pauseMillis);
				}
				this.changed = false;
			}
		}
	}

	/**
	 * Does the next step.
	 * @return time until the step after it
	 */
	private long step() throws InterruptedException {
		ServiceSpec spec = spec();
		if (spec == null) {
			return POLL_MILLIS;
		}
		if (spec.kind() == ServiceKind.PLAIN) {
			this.admission.open();
			this.state = new ReconcilerStatus("warm", "", "", "");
			return POLL_MILLIS;
		}
		List<String> manifests = manifests(spec);
		this.exchange.want(manifests, this.servedManifests);
		if (!mayServe()) {
			return POLL_MILLIS;
		}
		// Before the status, so that an order that arrives between the two is seen in it.
		boolean quiet = earlierOrdersVoid();
		EngineStatus status = this.engine.status();
		String wanted = spec.weightsDigest();
		if (status.weights().equals(wanted) && !status.loading()) {
			if (!this.open && !quiet && !status.checksFencing()) {
				awaitQuiet(wanted);
				return POLL_MILLIS;
			}
			serve(status, manifests, wanted);
			if (status.cold()) {
				return this.warmUp.step(wanted, POLL_MILLIS);
			}
			this.warmUp.done();
			return this.admission.load().cold() ? POLL_MILLIS : SETTLED_POLL_MILLIS;
		}
		keepServing(status);
		if (!this.exchange.complete(manifests)) {
			String failure = this.exchange.state().failure();
			this.state = this.state.wanting("fetching", (failure != null) ? failure : "chunks are missing", wanted);
			return POLL_MILLIS / 10;
		}
		return activate(spec, wanted);
	}

	/**
	 * Whether no order under an earlier number can reach the engine any more.
	 */
	private boolean earlierOrdersVoid() {
		return this.lease.fencingToken() > 0 && this.lease.earlierOrdersExpireInMillis(System.nanoTime()) == 0;
	}

	/**
	 * Ends the lease of an earlier agent and keeps admission closed. An engine that
	 * ignores fencing numbers may still take an order of that agent and would load under
	 * open admission, although it serves the wanted set now.
	 */
	private void awaitQuiet(String wanted) {
		this.state = this.state.wanting("verified", "waits until earlier orders are void", wanted);
		if (this.lease.fencingToken() == 0) {
			renewLease();
		}
	}

	/**
	 * Keeps admission open for the set served before, as long as the engine reports it.
	 */
	private void keepServing(EngineStatus status) {
		if (!this.trustedWeights.isEmpty() && status.weights().equals(this.trustedWeights) && !status.loading()) {
			this.state = this.state.serving(this.trustedWeights);
			open();
		}
		else if (!this.state.servedWeights().isEmpty()) {
			mismatch(status.weights());
		}
	}

	private void serve(EngineStatus status, List<String> manifests, String wanted) {
		if (!this.trustedWeights.equals(wanted)) {
			this.log.log(Event.WEIGHTS_ACTIVATED, "manifest", wanted);
			this.slot.loaded(System.nanoTime());
		}
		this.servedManifests = manifests;
		this.trustedWeights = wanted;
		this.state = new ReconcilerStatus(status.cold() ? "cold" : "warm", "", wanted, wanted);
		open();
		this.slot.releaseIfDone(!status.cold() || !this.warmUp.inService(), System.nanoTime());
	}

	/**
	 * Loads verified weights. The lease is obtained before admission closes, so that a
	 * platform that is down does not interrupt the service.
	 */
	private long activate(ServiceSpec spec, String wanted) throws InterruptedException {
		this.state = this.state.wanting("verified", "waits for the lease of the engine", wanted);
		if (this.lease.fencingToken() == 0) {
			this.lease.renew(System.nanoTime());
		}
		long quietMillis = this.engine.status().checksFencing() ? 0
				: this.lease.earlierOrdersExpireInMillis(System.nanoTime());
		if (quietMillis > 0) {
			this.state = this.state.in("verified", "waits until earlier orders are void");
			return Math.min(quietMillis, POLL_MILLIS);
		}
		this.state = this.state.in("verified", "waits for an activation slot");
		boolean serving = !this.state.servedWeights().isEmpty();
		if (serving && !this.slot.acquire(spec.limits().surge(), System.nanoTime())) {
			return 100
					+ ThreadLocalRandom.current().nextLong(100 + MILLIS_PER_AGENT * (long) this.agentCount.getAsInt());
		}
		if (!renewLease()) {
			return POLL_MILLIS;
		}
		this.state = this.state.in("activating", "waits for running calls");
		this.open = false;
		this.admission.drain();
		if (!awaitNoCalls(spec.limits().deadlineMillis())) {
			return POLL_MILLIS;
		}
		close();
		return (wanted.equals(wantedNow()) && renewLease()) ? order(spec, wanted) : 0;
	}

	/**
	 * Waits until no admitted call is left, those included that wait for credit without a
	 * place at the engine: their answers need the weights that are served now.
	 */
	private boolean awaitNoCalls(long timeoutMillis) throws InterruptedException {
		return this.admission.awaitIdle(timeoutMillis) && this.calls.awaitEmpty(timeoutMillis);
	}

	/**
	 * Whether the engine is still that of this agent. After an order without a good
	 * answer another agent may have taken over, and two agents must not both admit calls.
	 */
	private boolean mayServe() {
		return (this.lease.abandoned() || this.lease.superseded()) ? renewLease() : true;
	}

	private boolean renewLease() {
		if (!this.lease.superseded() && !this.lease.valid(System.nanoTime())) {
			this.lease.renew(System.nanoTime());
		}
		if (this.lease.superseded()) {
			out("another agent has taken over the engine");
		}
		return !this.lease.superseded();
	}

	private long order(ServiceSpec spec, String wanted) throws InterruptedException {
		this.state = this.state.in("activating", "engine loads").serving("");
		this.trustedWeights = "";
		LoadOrder order = new LoadOrder("load", manifests(spec), "http://" + this.source + "/v1",
				this.lease.fencingToken(), UUID.randomUUID().toString());
		if (!this.lease.valid(System.nanoTime())) {
			return 0;
		}
		try {
			this.engine.order(order, ORDER_TIMEOUT);
		}
		catch (EngineException ex) {
			this.lease.discardFencingToken();
			throw ex;
		}
		EngineStatus after = this.engine.status();
		if (!after.weights().equals(wanted)) {
			mismatch(after.weights());
		}
		return 0;
	}

	private void open() {
		if (!this.open) {
			this.open = true;
			this.admission.open();
		}
	}

	private void close() {
		this.open = false;
		this.admission.close();
	}

	private void mismatch(String served) {
		close();
		this.log.log(Event.WEIGHTS_MISMATCH, "served", served, "wanted", this.state.wantedWeights());
		this.state = this.state.in("out", "engine serves other weights").serving("");
	}

	private void out(String reason) {
		close();
		this.state = this.state.in("out", reason).serving("");
	}

	private @Nullable ServiceSpec spec() {
		return this.configuration.get().deployment().services().get(this.settings.service());
	}

	private String wantedNow() {
		ServiceSpec spec = spec();
		return (spec != null) ? spec.weightsDigest() : "";
	}

	private static List<String> manifests(ServiceSpec spec) {
		return spec.weights().stream().map(WeightsRef::manifest).toList();
	}

	/**
	 * What an activation works with.
	 *
	 * @param admission admission to the engine
	 * @param engine the engine
	 * @param exchange source of verified weights
	 * @param lease right to give orders
	 * @param slot slot of the surge limit
	 * @param calls admitted calls
	 * @param warmUp calls to a cold engine
	 * @param source address from which the engine loads
	 */
	record Parts(AdmissionController admission, EngineClient engine, ChunkExchange exchange, EngineLease lease,
			ActivationSlotLease slot, RunningCalls calls, WarmUp warmUp, Address source) {
	}

}
