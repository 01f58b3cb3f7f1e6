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
import org.jaywood.event.TaskGuard;
import org.jaywood.store.PlatformException;
import org.jaywood.weights.ChunkExchange;
import org.jaywood.wire.Address;

/**
 * Brings the engine to the target weights of the configuration. It sends a load order
 * only for verified weights, while admission is closed, no call runs and the lease is
 * valid. It opens admission only when the engine reports exactly the target weights.
 */
final class EngineReconciler {

	static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);

	private static final long POLL_INTERVAL_MILLIS = 500;

	/**
	 * Interval while a warm engine serves the target weights. The status poller then
	 * wakes the reconciler if the engine reports other weights, turns cold or is a new
	 * instance. It detects that an engine turned cold only after admission has seen it
	 * warm, so the shorter interval is used until then. Each status request costs
	 * processor time on both sides.
	 */
	private static final long SERVING_POLL_INTERVAL_MILLIS = 10_000;

	/**
	 * Spreads the slot requests of a large service to keep below the read rate of the
	 * platform.
	 */
	private static final int RETRY_SPREAD_MILLIS_PER_AGENT = 5;

	private final Supplier<AppliedConfiguration> configuration;

	private final AgentSettings settings;

	private final AdmissionController admission;

	private final EngineClient engine;

	private final ChunkExchange exchange;

	private final EngineLease lease;

	private final ActivationSlotLease slotLease;

	private final RunningCalls calls;

	private final WarmUp warmUp;

	private final Address source;

	private final IntSupplier agentCount;

	private final EventLog log;

	private volatile ReconcilerStatus state = new ReconcilerStatus("out", "no configuration", "", "");

	private List<String> servedManifests = List.of();

	/**
	 * Digest of the weights that the engine served last, until the next order; empty for
	 * none.
	 */
	private String lastServedWeights = "";

	private volatile boolean open;

	private boolean wakeRequested;

	EngineReconciler(AgentSettings settings, Supplier<AppliedConfiguration> configuration, Collaborators collaborators,
			IntSupplier agentCount, EventLog log) {
		this.settings = settings;
		this.configuration = configuration;
		this.admission = collaborators.admission();
		this.engine = collaborators.engine();
		this.exchange = collaborators.exchange();
		this.lease = collaborators.lease();
		this.slotLease = collaborators.slotLease();
		this.calls = collaborators.calls();
		this.warmUp = collaborators.warmUp();
		this.source = collaborators.source();
		this.agentCount = agentCount;
		this.log = log;
	}

	ReconcilerStatus state() {
		return this.admission.shuttingDown() ? this.state.withState("draining", "the agent stops") : this.state;
	}

	/**
	 * Makes {@link #run} perform its next step now, after a change of the configuration
	 * or of the engine.
	 */
	synchronized void wake() {
		this.wakeRequested = true;
		notifyAll();
	}

	/**
	 * Checks the weights that the engine reports. Closes admission at once if they are
	 * not those for which it was opened.
	 * @param servedDigest digest that the engine reports, empty for none
	 */
	void onServedWeights(String servedDigest) {
		String served = this.state.servedWeights();
		if (!served.isEmpty() && !servedDigest.isEmpty() && !served.equals(servedDigest)) {
			onWeightsMismatch(servedDigest);
			wake();
		}
	}

	/**
	 * Reconciles the engine with the configuration until interrupted.
	 */
	void run() throws InterruptedException {
		while (true) {
			long delayMillis = POLL_INTERVAL_MILLIS;
			try {
				delayMillis = step();
			}
			catch (EngineException ex) {
				this.log.log(Event.ORDER_FAILED, "order", "load", "error", ex);
				takeOutOfService("engine: " + ex.getMessage());
			}
			catch (PlatformException ex) {
				this.log.log(Event.ACTIVATION_WAITING, "reason", ex);
				this.state = this.state.withState("verified", "platform: " + ex.getMessage());
				delayMillis = POLL_INTERVAL_MILLIS + ThreadLocalRandom.current().nextLong(POLL_INTERVAL_MILLIS);
			}
			catch (RuntimeException | Error ex) {
				new TaskGuard("activation", this.log).onError(ex);
			}
			synchronized (this) {
				if (!this.wakeRequested) {
					TimeUnit.MILLISECONDS.timedWait(this, delayMillis);
				}
				this.wakeRequested = false;
			}
		}
	}

	/**
	 * Performs one step of the reconciliation.
	 * @return time until the next step in milliseconds
	 */
	private long step() throws InterruptedException {
		ServiceSpec spec = currentSpec();
		if (spec == null) {
			return POLL_INTERVAL_MILLIS;
		}
		if (spec.kind() == ServiceKind.PLAIN) {
			this.admission.open();
			this.state = new ReconcilerStatus("warm", "", "", "");
			return POLL_INTERVAL_MILLIS;
		}
		List<String> manifests = manifests(spec);
		this.exchange.setTarget(manifests, this.servedManifests);
		if (!ensureEngineOwnership()) {
			return POLL_INTERVAL_MILLIS;
		}
		// Checked before the status is read, so that the status shows an order that
		// arrives in between.
		boolean ordersExpired = earlierOrdersExpired();
		EngineStatus status = this.engine.status();
		String target = spec.weightsDigest();
		if (status.weights().equals(target) && !status.loading()) {
			if (!this.open && !ordersExpired && !status.checksFencing()) {
				deferUntilOrdersExpire(target);
				return POLL_INTERVAL_MILLIS;
			}
			serveTargetWeights(status, manifests, target);
			if (status.cold()) {
				return this.warmUp.step(target, POLL_INTERVAL_MILLIS);
			}
			this.warmUp.onWarm();
			return this.admission.load().cold() ? POLL_INTERVAL_MILLIS : SERVING_POLL_INTERVAL_MILLIS;
		}
		serveEarlierWeights(status);
		if (!this.exchange.hasAllChunks(manifests)) {
			String failure = this.exchange.state().failure();
			this.state = this.state.withTarget("fetching", (failure != null) ? failure : "chunks are missing", target);
			return POLL_INTERVAL_MILLIS / 10;
		}
		return activate(spec, target);
	}

	/**
	 * Whether no order with an earlier fencing token can reach the engine any more.
	 */
	private boolean earlierOrdersExpired() {
		return this.lease.fencingToken() > 0 && this.lease.earlierOrdersExpireInMillis(System.nanoTime()) == 0;
	}

	/**
	 * Takes the lease over from an earlier agent and keeps admission closed. An engine
	 * that ignores fencing tokens may still accept an order of that agent and load other
	 * weights while admission is open, although it serves the target weights now.
	 */
	private void deferUntilOrdersExpire(String target) {
		this.state = this.state.withTarget("verified", "waits until earlier orders are void", target);
		if (this.lease.fencingToken() == 0) {
			renewLease();
		}
	}

	/**
	 * Keeps admission open for the weights served before, as long as the engine reports
	 * them.
	 */
	private void serveEarlierWeights(EngineStatus status) {
		if (!this.lastServedWeights.isEmpty() && status.weights().equals(this.lastServedWeights) && !status.loading()) {
			this.state = this.state.withServedWeights(this.lastServedWeights);
			open();
		}
		else if (!this.state.servedWeights().isEmpty()) {
			onWeightsMismatch(status.weights());
		}
	}

	private void serveTargetWeights(EngineStatus status, List<String> manifests, String target) {
		if (!this.lastServedWeights.equals(target)) {
			this.log.log(Event.WEIGHTS_ACTIVATED, "manifest", target);
			this.slotLease.onLoaded(System.nanoTime());
		}
		this.servedManifests = manifests;
		this.lastServedWeights = target;
		this.state = new ReconcilerStatus(status.cold() ? "cold" : "warm", "", target, target);
		open();
		this.slotLease.releaseIfDone(!status.cold() || !this.warmUp.acceptsWork(), System.nanoTime());
	}

	/**
	 * Loads verified weights. The lease is obtained before admission closes, so that a
	 * failure of the platform does not interrupt the service.
	 */
	private long activate(ServiceSpec spec, String target) throws InterruptedException {
		this.state = this.state.withTarget("verified", "waits for the lease of the engine", target);
		if (this.lease.fencingToken() == 0) {
			this.lease.renew(System.nanoTime());
		}
		long expiryMillis = this.engine.status().checksFencing() ? 0
				: this.lease.earlierOrdersExpireInMillis(System.nanoTime());
		if (expiryMillis > 0) {
			this.state = this.state.withState("verified", "waits until earlier orders are void");
			return Math.min(expiryMillis, POLL_INTERVAL_MILLIS);
		}
		this.state = this.state.withState("verified", "waits for an activation slot");
		boolean serving = !this.state.servedWeights().isEmpty();
		if (serving && !this.slotLease.acquire(spec.limits().surge(), System.nanoTime())) {
			return 100 + ThreadLocalRandom.current()
				.nextLong(100 + RETRY_SPREAD_MILLIS_PER_AGENT * (long) this.agentCount.getAsInt());
		}
		if (!renewLease()) {
			return POLL_INTERVAL_MILLIS;
		}
		this.state = this.state.withState("activating", "waits for running calls");
		this.open = false;
		this.admission.drain();
		if (!awaitNoCalls(spec.limits().deadlineMillis())) {
			return POLL_INTERVAL_MILLIS;
		}
		close();
		return (target.equals(currentTargetWeights()) && renewLease()) ? sendLoadOrder(spec, target) : 0;
	}

	/**
	 * Waits until no admitted call is left. This includes calls that wait for credit
	 * without a permit, since their answers need the weights that are served now.
	 */
	private boolean awaitNoCalls(long timeoutMillis) throws InterruptedException {
		return this.admission.awaitIdle(timeoutMillis) && this.calls.awaitEmpty(timeoutMillis);
	}

	/**
	 * Returns whether this agent still owns the engine, after renewing the lease if
	 * necessary. After an order that failed or was not answered another agent may have
	 * taken over, and two agents must not both admit calls.
	 */
	private boolean ensureEngineOwnership() {
		return (this.lease.fencingTokenDiscarded() || this.lease.superseded()) ? renewLease() : true;
	}

	private boolean renewLease() {
		if (!this.lease.superseded() && !this.lease.valid(System.nanoTime())) {
			this.lease.renew(System.nanoTime());
		}
		if (this.lease.superseded()) {
			takeOutOfService("another agent has taken over the engine");
		}
		return !this.lease.superseded();
	}

	private long sendLoadOrder(ServiceSpec spec, String target) throws InterruptedException {
		this.state = this.state.withState("activating", "engine loads").withServedWeights("");
		this.lastServedWeights = "";
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
		EngineStatus statusAfter = this.engine.status();
		if (!statusAfter.weights().equals(target)) {
			onWeightsMismatch(statusAfter.weights());
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

	private void onWeightsMismatch(String served) {
		close();
		this.log.log(Event.WEIGHTS_MISMATCH, "served", served, "wanted", this.state.targetWeights());
		this.state = this.state.withState("out", "engine serves other weights").withServedWeights("");
	}

	private void takeOutOfService(String reason) {
		close();
		this.state = this.state.withState("out", reason).withServedWeights("");
	}

	private @Nullable ServiceSpec currentSpec() {
		return this.configuration.get().deployment().services().get(this.settings.service());
	}

	private String currentTargetWeights() {
		ServiceSpec spec = currentSpec();
		return (spec != null) ? spec.weightsDigest() : "";
	}

	private static List<String> manifests(ServiceSpec spec) {
		return spec.weights().stream().map(WeightsRef::manifest).toList();
	}

	/**
	 * Objects that the reconciler uses.
	 *
	 * @param admission admission to the engine
	 * @param engine the engine
	 * @param exchange source of verified weights
	 * @param lease right to send orders to the engine
	 * @param slotLease slot of the surge limit
	 * @param calls admitted calls
	 * @param warmUp warm-up calls to a cold engine
	 * @param source address from which the engine loads
	 */
	record Collaborators(AdmissionController admission, EngineClient engine, ChunkExchange exchange, EngineLease lease,
			ActivationSlotLease slotLease, RunningCalls calls, WarmUp warmUp, Address source) {
	}

}
