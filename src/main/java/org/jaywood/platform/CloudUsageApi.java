package org.jaywood.platform;

import java.util.Map;

import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.metering.UsageApi;
import org.jaywood.metering.UsageReport;

/**
 * Reports of usage to the platform's cloud API.
 */
final class CloudUsageApi implements UsageApi {

	private final CloudClient cloud;

	CloudUsageApi(CloudClient cloud) {
		this.cloud = cloud;
	}

	@Override
	public CloudResponse report(LeaderTerm term, UsageReport report) {
		return this.cloud.post(term, "/usage", Map.of("WindowId", report.windowId(), "Counts", report.counts()));
	}

}
