package org.jaywood.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream of a call: the least loaded one that may run it and has free
 * capacity. Near ones are preferred to distant ones of about the same load, since the
 * links between regions are narrow, and an upstream that fails more of its calls than the
 * others gets few.
 */
final class PlacementPolicy {

	/**
	 * Calls that an engine may hold beyond its slots, so that a slot that becomes free is
	 * used immediately.
	 */
	private static final double ENGINE_QUEUE_CALLS = 1;

	/** Calls that an upstream may hold beyond its capacity if they were sent before. */
	private static final double SENT_BEFORE_RESERVE_CALLS = 2;

	/** Calls that a plain upstream may hold for each of its slots. */
	private static final double PLAIN_CALLS_PER_SLOT = 2;

	/**
	 * Additional load, as a share of the slots, at which an upstream of this region is
	 * still preferred to one of another region.
	 */
	private static final double OTHER_REGION_PENALTY = 0.12;

	private static final double OTHER_DATA_CENTRE_PENALTY = 0.04;

	/** Weight of the share of failed calls relative to the load. */
	private static final double FAILURE_PENALTY = 3;

	/**
	 * Share of failed calls, in excess of the lowest one, above which an upstream is an
	 * outlier.
	 */
	private static final double OUTLIER_EXCESS_SHARE = 0.2;

	/**
	 * Calls of one gateway up to which a quiet engine gets new ones while another engine
	 * is not quiet, so that a single long silence of one call is told from that of its
	 * engine.
	 */
	private static final int MAX_QUIET_CALLS = 2;

	/** Calls of one gateway that an outlier may hold. */
	private static final int MAX_OUTLIER_CALLS = 1;

	/**
	 * Number of subscribed engines that may run a call, below which others are considered
	 * too.
	 */
	private static final int MIN_SUBSCRIBED_CANDIDATES = 4;

	private final DispatchSettings settings;

	private final CallLimits limits;

	private final EngineRanking ranking;

	private final DataCentreChoice dataCentreChoice;

	private final DataCentreCapacities dataCentreCapacities;

	private final Map<String, ServicePace> paces = new HashMap<>();

	private final StoreOutageDetector outageDetector = new StoreOutageDetector();

	PlacementPolicy(DispatchSettings settings, CallLimits limits, EngineRanking ranking,
			DataCentreChoice dataCentreChoice) {
		this.settings = settings;
		this.limits = limits;
		this.ranking = ranking;
		this.dataCentreChoice = dataCentreChoice;
		this.dataCentreCapacities = new DataCentreCapacities(settings.dataCentre());
	}

	/**
	 * Records the end of an attempt.
	 */
	void onEnd(UpstreamState state, Placement placement, Outcome outcome, long nowMillis) {
		ServicePace pace = pace(state.upstream().service());
		state.onEnd(placement, outcome, pace, nowMillis);
		pace.onEnd(placement.activity());
		this.ranking.onEnd(placement.activity(), outcome);
	}

	/**
	 * Records the time in which a connection to an upstream was opened.
	 */
	void onConnected(Upstream upstream, long millis, long nowMillis) {
		this.dataCentreCapacities.onConnected(upstream, millis, nowMillis);
	}

	/**
	 * Whether the attempts at an upstream have all gone quiet.
	 */
	boolean quiet(UpstreamState state, long nowMillis) {
		return state.quiet(pace(state.upstream().service()), nowMillis);
	}

	private ServicePace pace(String service) {
		return this.paces.computeIfAbsent(service, (key) -> new ServicePace());
	}

	/**
	 * Chooses an upstream with free capacity. Quiet ones are the last choice: they may be
	 * sound, but a call there waits until they go on. While another engine is not quiet,
	 * a quiet one gets few. A plain upstream shows no progress before an answer is
	 * complete, so it is only the last choice.
	 * @param candidates upstreams that may run the call
	 * @param heldBackSlots free capacity for each gateway that is left to more urgent
	 * calls
	 */
	PlacementSelection select(Collection<UpstreamState> candidates, CallRequirements requirements,
			@Nullable ServiceProfile profile, FleetSize fleetSize, double heldBackSlots, long nowMillis) {
		return select(candidates, requirements, profile, fleetSize, heldBackSlots, false, nowMillis);
	}

	/**
	 * Returns the choice of {@link #select} without a change of state.
	 */
	PlacementSelection preview(Collection<UpstreamState> candidates, CallRequirements requirements,
			@Nullable ServiceProfile profile, FleetSize fleetSize, double heldBackSlots, long nowMillis) {
		return select(candidates, requirements, profile, fleetSize, heldBackSlots, true, nowMillis);
	}

	private PlacementSelection select(Collection<UpstreamState> candidates, CallRequirements requirements,
			@Nullable ServiceProfile profile, FleetSize fleetSize, double heldBackSlots, boolean readOnly,
			long nowMillis) {
		double bestShare = candidates.stream().mapToDouble((state) -> state.health().failureShare()).min().orElse(0);
		double reserveCalls = requirements.queueClass().sentBefore() ? SENT_BEFORE_RESERVE_CALLS : 0;
		Collection<UpstreamState> considered = preferSubscribed(candidates, requirements, profile);
		List<UpstreamState> allowed = considered.stream()
			.filter((state) -> this.limits.waitMillis(state, profile, fleetSize.divisor(), nowMillis) == 0)
			.toList();
		if (!readOnly && !allowed.isEmpty() && profile instanceof ServiceProfile.Engines) {
			this.ranking.refresh(requirements.service(), nowMillis);
		}
		List<Candidate> evaluated = allowed.stream()
			.map((state) -> evaluate(state, requirements, profile, bestShare, fleetSize.gateways(), nowMillis))
			.toList();
		boolean heldBack = heldBackSlots > 0
				&& freeCapacity(evaluated, fleetSize.gateways(), nowMillis) <= heldBackSlots;
		boolean mayWait = profile instanceof ServiceProfile.Engines && !requirements.queueClass().sentBefore()
				&& evaluated.stream().anyMatch((candidate) -> !candidate.quiet());
		PlacementSelection.CapacityRules rules = new PlacementSelection.CapacityRules(reserveCalls, mayWait);
		if (heldBack) {
			return new PlacementSelection(considered, evaluated, bestShare, rules, true,
					DataCentreChoice.Decision.ANYWHERE, Optional.empty());
		}
		List<Candidate> open = evaluated.stream()
			.filter((candidate) -> capacityExclusion(candidate, rules, nowMillis) == null)
			.toList();
		DataCentreChoice choice = readOnly ? this.dataCentreChoice.readOnly() : this.dataCentreChoice;
		DataCentreChoice.Decision decision = (mayWait && !open.isEmpty()) ? this.dataCentreCapacities.decide(choice,
				requirements.service(), evaluated, open,
				(candidate) -> this.ranking.waitMillis(candidate.state(), candidate.load(), requirements, nowMillis),
				nowMillis) : DataCentreChoice.Decision.ANYWHERE;
		Optional<Candidate> chosen = open.stream()
			.filter((candidate) -> decision.allows(candidate.state().upstream().dataCentre()))
			.min(Comparator.comparing(Candidate::quiet).thenComparingDouble(Candidate::cost))
			.map((candidate) -> candidate
				.withSpillover(this.dataCentreCapacities.isOwn(candidate) ? SpilloverReason.LOCAL : decision.reason()));
		return new PlacementSelection(considered, evaluated, bestShare, rules, false, decision, chosen);
	}

	/**
	 * Returns why a candidate has no free capacity for a call, or null if it has.
	 */
	private static @Nullable Exclusion capacityExclusion(Candidate candidate, PlacementSelection.CapacityRules rules,
			long nowMillis) {
		double capacity = candidate.capacity() + rules.reserveCalls();
		if (candidate.load() >= capacity) {
			return Exclusion.FULL;
		}
		if (!candidate.state().withinFreeShare(capacity, nowMillis)) {
			return Exclusion.FREE_CAPACITY_SHARE;
		}
		boolean quiet = rules.mayWait() && candidate.quiet() && candidate.state().inFlight() >= MAX_QUIET_CALLS;
		return quiet ? Exclusion.STALLED : null;
	}

	/**
	 * Returns why a selection does not choose one of its candidates, or null if it is
	 * chosen or only ranks below the chosen one.
	 */
	@Nullable Exclusion exclusion(UpstreamState state, PlacementSelection selection, @Nullable ServiceProfile profile,
			FleetSize fleetSize, long nowMillis) {
		if (!selection.considered().contains(state)) {
			return Exclusion.NOT_SUBSCRIBED;
		}
		Candidate candidate = selection.evaluated()
			.stream()
			.filter((evaluated) -> evaluated.state() == state)
			.findFirst()
			.orElse(null);
		if (candidate == null) {
			return this.limits.exclusion(state, profile, fleetSize.divisor(), nowMillis);
		}
		Exclusion capacityExclusion = capacityExclusion(candidate, selection.rules(), nowMillis);
		if (capacityExclusion != null || selection.heldBack()) {
			return (capacityExclusion != null) ? capacityExclusion : Exclusion.HELD_BACK;
		}
		return selection.decision().allows(state.upstream().dataCentre()) ? null : Exclusion.OTHER_DATA_CENTRE;
	}

	/**
	 * Returns the free capacity of all candidates for each gateway. The place that each
	 * engine has beyond its slots counts, since reports show slots as taken that have
	 * become free.
	 */
	private static double freeCapacity(List<Candidate> candidates, int gatewayCount, long nowMillis) {
		return candidates.stream()
			.mapToDouble((candidate) -> Math.max(0, candidate.capacity() - candidate.load())
					/ candidate.state().gateways(nowMillis).orElse(gatewayCount))
			.sum();
	}

	/**
	 * Excludes engines to which this gateway does not subscribe, unless too few others
	 * may run the call or it is bound to a region. Even then it excludes those that
	 * already hold a call of this gateway, since the calls of other gateways there are
	 * not known.
	 */
	private static Collection<UpstreamState> preferSubscribed(Collection<UpstreamState> candidates,
			CallRequirements requirements, @Nullable ServiceProfile profile) {
		if (!(profile instanceof ServiceProfile.Engines)) {
			return candidates;
		}
		List<UpstreamState> subscribed = candidates.stream().filter(UpstreamState::subscribed).toList();
		boolean enough = subscribed.size() >= MIN_SUBSCRIBED_CANDIDATES && requirements.regions().isEmpty();
		return (enough || subscribed.size() == candidates.size()) ? subscribed
				: candidates.stream().filter((state) -> state.subscribed() || state.inFlight() == 0).toList();
	}

	/**
	 * Whether a call is placed on one of some subscribed engines, so that the others need
	 * not be considered.
	 */
	boolean isEnough(List<UpstreamState> subscribed, CallRequirements requirements, @Nullable ServiceProfile profile,
			long nowMillis) {
		return profile instanceof ServiceProfile.Engines && requirements.regions().isEmpty()
				&& subscribed.stream()
					.filter((state) -> state.hasTimelyPath(nowMillis))
					.limit(MIN_SUBSCRIBED_CANDIDATES)
					.count() == MIN_SUBSCRIBED_CANDIDATES;
	}

	/**
	 * Returns why an upstream may not run a call, whatever its capacity, or null if it
	 * may.
	 */
	@Nullable Exclusion eligibility(UpstreamState state, CallRequirements requirements, Fleet fleet,
			@Nullable ServiceProfile profile, long nowMillis) {
		Upstream upstream = state.upstream();
		if (upstream.leaving() || !state.present(nowMillis)) {
			return Exclusion.LEAVING;
		}
		if (fleet.closedDataCentres().contains(upstream.dataCentre())) {
			return Exclusion.CLOSED_DATA_CENTRE;
		}
		if (!requirements.regions().isEmpty() && !requirements.regions().contains(upstream.region())) {
			return Exclusion.REGION;
		}
		if (requirements.excludedUpstreams().contains(upstream.id())) {
			return Exclusion.TRIED;
		}
		return (profile instanceof ServiceProfile.Engines engines)
				? weightsExclusion(state, engines, requirements, fleet.targetVersions(), nowMillis) : null;
	}

	/**
	 * Records whether an agent has recent store contact.
	 */
	void onReport(boolean hasStoreContact, long nowMillis) {
		this.outageDetector.onReport(hasStoreContact, nowMillis);
	}

	/**
	 * Returns the oldest version that may still start a call, empty before the end of the
	 * first grace period. Each target version has its own grace period: a newer one does
	 * not extend that of the one before.
	 */
	OptionalLong requiredVersion(String model, Map<String, List<Fleet.TargetVersion>> targetVersions, long nowMillis) {
		long graceMillis = this.settings.versionGraceMillis();
		return targetVersions.getOrDefault(model, List.of())
			.stream()
			.filter((target) -> nowMillis
					- this.outageDetector.graceStartMillis(target.learnedMillis(), graceMillis) >= graceMillis)
			.mapToLong(Fleet.TargetVersion::version)
			.max();
	}

	private @Nullable Exclusion weightsExclusion(UpstreamState state, ServiceProfile.Engines engines,
			CallRequirements requirements, Map<String, List<Fleet.TargetVersion>> targetVersions, long nowMillis) {
		LoadedWeights weights = state.servedWeights(nowMillis);
		if (weights == null || !weights.complete(engines.layers())) {
			return Exclusion.VERSION;
		}
		UpstreamReport report = state.freshReport(nowMillis);
		if (report != null && report.busy()) {
			return Exclusion.BUSY;
		}
		OptionalLong required = requiredVersion(engines.model(), targetVersions, nowMillis);
		boolean newEnough = required.isEmpty() || weights.version() >= required.getAsLong();
		boolean matchesPinned = requirements.pinnedVersion().isEmpty()
				|| requirements.pinnedVersion().getAsLong() == weights.version();
		return (newEnough && matchesPinned) ? null : Exclusion.VERSION;
	}

	/**
	 * Returns an upstream as a candidate for a call.
	 * @param bestShare lowest share of failed calls among all candidates
	 */
	Candidate evaluate(UpstreamState state, CallRequirements requirements, @Nullable ServiceProfile profile,
			double bestShare, int gatewayCount, long nowMillis) {
		Upstream upstream = state.upstream();
		double load = state.load(gatewayCount, nowMillis);
		double excess = Math.max(0, state.health().failureShare() - bestShare);
		double capacity = (profile instanceof ServiceProfile.Engines) ? upstream.slots() + ENGINE_QUEUE_CALLS
				: upstream.slots() * PLAIN_CALLS_PER_SLOT;
		if (excess > OUTLIER_EXCESS_SHARE) {
			capacity = (state.inFlight() < MAX_OUTLIER_CALLS) ? capacity : 0;
		}
		double cost = this.ranking.cost(state, load, requirements, profile, nowMillis) + distancePenalty(upstream)
				+ FAILURE_PENALTY * excess;
		return new Candidate(state, load, capacity, cost, quiet(state, nowMillis), FAILURE_PENALTY * excess,
				distancePenalty(upstream), SpilloverReason.UNRESTRICTED);
	}

	/**
	 * Returns what is to be observed of an attempt that is sent to a chosen upstream.
	 */
	AttemptObserver observer(Candidate chosen, CallRequirements requirements, @Nullable ServiceProfile profile,
			long nowMillis) {
		return this.ranking.observer(chosen.state(), chosen.load(), requirements, profile, nowMillis);
	}

	/**
	 * Returns the measured factor of an upstream on the usual times of its service.
	 */
	double slowness(UpstreamState state, long nowMillis) {
		return this.ranking.slowness(state.upstream(), nowMillis);
	}

	private double distancePenalty(Upstream upstream) {
		if (!upstream.region().equals(this.settings.region())) {
			return OTHER_REGION_PENALTY;
		}
		return upstream.dataCentre().equals(this.settings.dataCentre()) ? 0 : OTHER_DATA_CENTRE_PENALTY;
	}

	/**
	 * Upstream that may run a call, with the cost of placing it there.
	 *
	 * @param state the upstream
	 * @param load calls that it holds
	 * @param capacity calls that it may hold
	 * @param cost cost of the placement; the lowest one is chosen
	 * @param quiet whether its running attempts have all gone quiet
	 * @param failureCost part of the cost for its failed calls
	 * @param distanceCost part of the cost for the way to it
	 * @param spillover why a call goes there
	 */
	record Candidate(UpstreamState state, double load, double capacity, double cost, boolean quiet, double failureCost,
			double distanceCost, SpilloverReason spillover) {

		Candidate withSpillover(SpilloverReason latest) {
			return new Candidate(this.state, this.load, this.capacity, this.cost, this.quiet, this.failureCost,
					this.distanceCost, latest);
		}

		/**
		 * Whether it fails so few of its calls that the way to another data centre costs
		 * more.
		 */
		boolean healthy() {
			return !this.quiet && this.failureCost <= OTHER_REGION_PENALTY;
		}

	}

}
