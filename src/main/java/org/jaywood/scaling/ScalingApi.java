package org.jaywood.scaling;

import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.LeaderTerm;

/**
 * Call of the platform that orders engines.
 */
public interface ScalingApi {

	/**
	 * Orders a number of engines. The same order may be sent again.
	 * @param term term of the leader, checked right before the call
	 * @param service name of the service
	 * @param dataCentre data centre of the engines
	 * @param engines number of engines that shall run there
	 */
	CloudResponse order(LeaderTerm term, String service, String dataCentre, int engines);

}
