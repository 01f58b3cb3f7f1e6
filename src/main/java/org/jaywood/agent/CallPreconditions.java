package org.jaywood.agent;

import java.util.function.BooleanSupplier;

import org.jaywood.config.ConfigurationHolder;
import org.jaywood.wire.RefusalReason;

/**
 * Checks the conditions of a call that do not depend on the load: its addressee, the time
 * left and the configuration in force.
 */
final class CallPreconditions {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final String incarnation;

	private final String service;

	private final String dataCentre;

	private final ConfigurationHolder configuration;

	private final BooleanSupplier configurationStale;

	private final BooleanSupplier draining;

	private final BooleanSupplier mayServeActivatedWeights;

	CallPreconditions(String incarnation, AgentSettings settings, ConfigurationHolder configuration,
			BooleanSupplier configurationStale, BooleanSupplier draining, BooleanSupplier mayServeActivatedWeights) {
		this.incarnation = incarnation;
		this.service = settings.service();
		this.dataCentre = settings.dataCentre();
		this.configuration = configuration;
		this.configurationStale = configurationStale;
		this.draining = draining;
		this.mayServeActivatedWeights = mayServeActivatedWeights;
	}

	/**
	 * Refuses a call that is addressed to another agent or service. The same attempt
	 * would always be refused, so the registry does not record it.
	 */
	void checkAddressee(CallRequest request) {
		if (!this.service.equals(request.service())) {
			throw new AdmissionRefusedException(RefusalReason.UNKNOWN_SERVICE, 0);
		}
		if (!request.expectedIncarnation().equals(this.incarnation)) {
			throw new AdmissionRefusedException(RefusalReason.OTHER_INCARNATION, 0);
		}
	}

	/**
	 * Whether the upstream may get work at all: its agent is not draining and its data
	 * centre is in service.
	 */
	boolean acceptsWork() {
		return !this.draining.getAsBoolean()
				&& this.configuration.deployment().acceptsNewWork(this.service, this.dataCentre);
	}

	/**
	 * Refuses a call whose deadline has passed, or that this agent cannot run at present.
	 */
	void checkCanRunNow(CallRequest request, long nowMillis) {
		if (request.deadlineMillis() <= nowMillis) {
			throw new AdmissionRefusedException(RefusalReason.DEADLINE, 0);
		}
		if (this.draining.getAsBoolean()) {
			throw new AdmissionRefusedException(RefusalReason.DRAINING, 0);
		}
		if (!this.configuration.deployment().acceptsNewWork(this.service, this.dataCentre)) {
			throw new AdmissionRefusedException(RefusalReason.DATA_CENTRE_OUT, RETRY_AFTER_MILLIS);
		}
		if (this.configurationStale.getAsBoolean()) {
			throw new AdmissionRefusedException(RefusalReason.STALE_CONFIGURATION, RETRY_AFTER_MILLIS);
		}
		// An engine that restarts loses its weights. Until the reconciler has detected
		// that, calls are refused here.
		if (!this.mayServeActivatedWeights.getAsBoolean()) {
			throw new AdmissionRefusedException(RefusalReason.NOT_READY, RETRY_AFTER_MILLIS);
		}
	}

}
