package org.jaywood.scaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Latest demand of each gateway, as the leader sums it. A refused call counts with the
 * slots that it would have held, by Little's law: refusals a second times slot time.
 * Thread-safe.
 */
public final class DemandTable {

	/** Reports that may be missing before a gateway is left out. */
	private static final long REPORT_LIFETIME_MILLIS = 3_000;

	private static final int MAX_GATEWAYS = 1_024;

	private static final int MAX_SERVICES = 256;

	private static final int MAX_NAME_CHARS = 256;

	/** Slot time that is assumed until a call has ended. */
	private static final double DEFAULT_SLOT_MILLIS = 1_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Map<String, Received> receivedByGateway = new HashMap<>();

	/**
	 * Takes in a report.
	 * @return null, or why it is not used
	 */
	public synchronized @Nullable String onReport(DemandReport report, long nowMillis) {
		String fault = fault(report);
		if (fault != null) {
			return fault;
		}
		this.receivedByGateway.values().removeIf((received) -> !received.fresh(nowMillis));
		if (this.receivedByGateway.size() >= MAX_GATEWAYS && !this.receivedByGateway.containsKey(report.gateway())) {
			return "too many gateways";
		}
		this.receivedByGateway.put(report.gateway(), new Received(report, nowMillis));
		return null;
	}

	private static @Nullable String fault(DemandReport report) {
		if (!isName(report.gateway()) || !isName(report.dataCentre()) || report.services() == null) {
			return "gateway, data centre or services are missing";
		}
		if (report.services().size() > MAX_SERVICES) {
			return "too many services";
		}
		return report.services()
			.stream()
			.filter((demand) -> !isName(demand.service()) || !demand.plausible())
			.findFirst()
			.map((demand) -> "implausible counts: " + demand)
			.orElse(null);
	}

	private static boolean isName(@Nullable String name) {
		return name != null && !name.isEmpty() && name.length() <= MAX_NAME_CHARS;
	}

	/**
	 * Returns how many gateways have reported lately.
	 */
	public synchronized int reporting(long nowMillis) {
		return (int) this.receivedByGateway.values().stream().filter((received) -> received.fresh(nowMillis)).count();
	}

	/**
	 * Returns the demand for a service by data centre of the callers.
	 */
	public synchronized Map<String, SlotDemand> sum(String service, long nowMillis) {
		double meanSlotMillis = demands(service, nowMillis).mapToDouble(ServiceDemand::slotMillis)
			.filter((millis) -> millis > 0)
			.average()
			.orElse(DEFAULT_SLOT_MILLIS);
		Map<String, SlotDemand> sums = new HashMap<>();
		this.receivedByGateway.values()
			.stream()
			.filter((received) -> received.fresh(nowMillis))
			.forEach((received) -> received.of(service)
				.forEach((demand) -> sums.merge(received.report().dataCentre(), slots(demand, meanSlotMillis),
						SlotDemand::plus)));
		return sums;
	}

	private Stream<ServiceDemand> demands(String service, long nowMillis) {
		return this.receivedByGateway.values()
			.stream()
			.filter((received) -> received.fresh(nowMillis))
			.flatMap((received) -> received.of(service));
	}

	private static SlotDemand slots(ServiceDemand demand, double meanSlotMillis) {
		double slotMillis = (demand.slotMillis() > 0) ? demand.slotMillis() : meanSlotMillis;
		return new SlotDemand(demand.running(),
				demand.waiting() + demand.refusedPerSecond() * slotMillis / MILLIS_PER_SECOND);
	}

	/**
	 * Report with the time of its receipt.
	 */
	private record Received(DemandReport report, long receivedMillis) {

		boolean fresh(long nowMillis) {
			return nowMillis - this.receivedMillis <= REPORT_LIFETIME_MILLIS;
		}

		Stream<ServiceDemand> of(String service) {
			List<ServiceDemand> demands = Objects.requireNonNull(this.report.services());
			return demands.stream().filter((demand) -> demand.service().equals(service));
		}

	}

}
