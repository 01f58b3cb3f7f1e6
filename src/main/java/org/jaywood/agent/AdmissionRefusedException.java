package org.jaywood.agent;

import org.jaywood.wire.RefusalReason;

/**
 * Refusal of a call before its upstream saw it.
 */
public class AdmissionRefusedException extends RuntimeException {

	private final RefusalReason reason;

	private final long retryAfterMillis;

	public AdmissionRefusedException(RefusalReason reason, long retryAfterMillis) {
		super(reason.name(), null, false, false);
		this.reason = reason;
		this.retryAfterMillis = retryAfterMillis;
	}

	public RefusalReason reason() {
		return this.reason;
	}

	public long retryAfterMillis() {
		return this.retryAfterMillis;
	}

}
