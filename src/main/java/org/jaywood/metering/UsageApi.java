package org.jaywood.metering;

import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.LeaderTerm;

/**
 * Part of the platform's cloud API that takes reports of usage. An exact repeat of a
 * report has no effect.
 */
public interface UsageApi {

	/**
	 * Reports the usage of a window.
	 * @param term term of this process; nothing is sent once it has ended
	 */
	CloudResponse report(LeaderTerm term, UsageReport report);

}
