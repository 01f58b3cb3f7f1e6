package org.jaywood.platform;

import java.util.Map;

import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.scaling.ScalingApi;

/**
 * Orders engines by the platform's cloud API.
 */
final class CloudScaling implements ScalingApi {

	private final CloudClient cloud;

	CloudScaling(CloudClient cloud) {
		this.cloud = cloud;
	}

	@Override
	public CloudResponse order(LeaderTerm term, String service, String dataCentre, int engines) {
		return this.cloud.post(term, "/scale", Map.of("Service", service, "Zone", dataCentre, "Desired", engines));
	}

}
