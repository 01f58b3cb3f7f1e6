package org.jaywood.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream of a call: the least loaded one that may run it and has room. Near
 * ones go before far ones of about the same load, since the links between regions are
 * narrow, and an upstream that fails more of its calls than the others gets few.
 */
final class PlacementPolicy {

	/**
	 * Calls beyond its slots that an engine may hold, so that a free slot never idles.
	 */
	private static final double ENGINE_QUEUE = 1;

	/** Calls beyond its capacity that an upstream may hold if they have run in part. */
	private static final double STARTED_RESERVE = 2;

	/** Calls that a plain upstream may hold for each of its slots. */
	private static final double PLAIN_OVERCOMMIT = 2;

	/** Load, as a share of the slots, that a call accepts to stay in its region. */
	private static final double OTHER_REGION_PENALTY = 0.12;

	private static final double OTHER_DATA_CENTRE_PENALTY = 0.04;

	/** Weight of the share of failed calls against the load. */
	private static final double FAILURE_PENALTY = 3;

	/**
	 * Share of failed calls, beyond that of the best, from which an upstream is suspect.
	 */
	private static final double SUSPECT_SHARE = 0.2;

	/** Calls of one gateway that a suspect upstream may hold. */
	private static final int SUSPECT_CALLS = 1;

	/**
	 * Share of the limit of a cold engine that the gateways use, which differ in speed.
	 */
	private static final double COLD_USE = 0.9;

	/** Followed engines that may run a call, below which others are asked too. */
	private static final int LEAST_CHOICES = 4;

	private final DispatchSettings settings;

	private final StoreOutageDetector outage = new StoreOutageDetector();

	PlacementPolicy(DispatchSettings settings) {
		this.settings = settings;
	}

	/**
	 * Chooses an upstream with room.
	 * @param candidates upstreams that may run the call
	 */
	Optional<Candidate> choose(Collection<UpstreamState> candidates, CallRequirements demand,
			@Nullable ServiceProfile profile, int gateways, long nowMillis) {
		double bestShare = candidates.stream().mapToDouble((state) -> state.health().failureShare()).min().orElse(0);
		double reserve = (demand.rank() == CallRequirements.QueueClass.STARTED) ? STARTED_RESERVE : 0;
		return preferFollowed(candidates, demand, profile).stream()
			.filter((state) -> withinColdLimit(state, profile, gateways, nowMillis))
			.map((state) -> rate(state, profile, bestShare, gateways, nowMillis))
			.filter((candidate) -> candidate.load() < candidate.capacity() + reserve)
			.min(Comparator.comparingDouble(Candidate::rating));
	}

	/**
	 * Leaves out engines that this gateway does not follow unless too few others may run
	 * the call or it is bound to a region, and among them those that hold a call of this
	 * gateway already: nothing is known of the calls of others there.
	 */
	private static Collection<UpstreamState> preferFollowed(Collection<UpstreamState> candidates,
			CallRequirements demand, @Nullable ServiceProfile profile) {
		if (!(profile instanceof ServiceProfile.Engines)) {
			return candidates;
		}
		List<UpstreamState> followed = candidates.stream().filter(UpstreamState::subscribed).toList();
		boolean enough = followed.size() >= LEAST_CHOICES && demand.regions().isEmpty();
		return (enough || followed.size() == candidates.size()) ? followed
				: candidates.stream().filter((state) -> state.subscribed() || state.inFlight() == 0).toList();
	}

	/**
	 * The upstreams that may run a call, with room or without.
	 */
	Stream<UpstreamState> eligible(Stream<UpstreamState> states, CallRequirements demand, Fleet fleet,
			@Nullable ServiceProfile profile, long nowMillis) {
		Set<String> closed = fleet.closedDataCentres();
		return states.filter((state) -> state.upstream().service().equals(demand.service()))
			.filter((state) -> !state.upstream().leaving() && state.present(nowMillis))
			.filter((state) -> !closed.contains(state.upstream().dataCentre()))
			.filter((state) -> demand.regions().isEmpty() || demand.regions().contains(state.upstream().region()))
			.filter((state) -> !demand.excludedUpstreams().contains(state.upstream().id()))
			.filter((state) -> !(profile instanceof ServiceProfile.Engines engines)
					|| servesWeights(state, engines, demand, fleet.targetVersions(), nowMillis));
	}

	/**
	 * Notes whether an agent lately heard of the store.
	 */
	void onReport(boolean informed, long nowMillis) {
		this.outage.onReport(informed, nowMillis);
	}

	/**
	 * The oldest version that may still begin a call, if one is named. Each naming has
	 * its own time: a newer one does not prolong that of the one before.
	 */
	OptionalLong requiredVersion(String model, Map<String, List<Fleet.TargetVersion>> named, long nowMillis) {
		long periodMillis = this.settings.versionGraceMillis();
		return named.getOrDefault(model, List.of())
			.stream()
			.filter((naming) -> nowMillis
					- this.outage.graceStartMillis(naming.learnedMillis(), periodMillis) >= periodMillis)
			.mapToLong(Fleet.TargetVersion::version)
			.max();
	}

	private boolean servesWeights(UpstreamState state, ServiceProfile.Engines engines, CallRequirements demand,
			Map<String, List<Fleet.TargetVersion>> named, long nowMillis) {
		LoadedWeights weights = state.weights(nowMillis);
		if (weights == null || !weights.complete(engines.layers())) {
			return false;
		}
		UpstreamReport report = state.freshReport(nowMillis);
		if (report != null && report.busy()) {
			return false;
		}
		OptionalLong required = requiredVersion(engines.model(), named, nowMillis);
		boolean current = required.isEmpty() || weights.version() >= required.getAsLong();
		boolean same = demand.pinnedVersion().isEmpty() || demand.pinnedVersion().getAsLong() == weights.version();
		return current && same;
	}

	private Candidate rate(UpstreamState state, @Nullable ServiceProfile profile, double bestShare, int gateways,
			long nowMillis) {
		Upstream upstream = state.upstream();
		double load = state.load(gateways, nowMillis);
		double excess = Math.max(0, state.health().failureShare() - bestShare);
		double capacity = (profile instanceof ServiceProfile.Engines) ? upstream.slots() + ENGINE_QUEUE
				: upstream.slots() * PLAIN_OVERCOMMIT;
		if (excess > SUSPECT_SHARE) {
			capacity = (state.inFlight() < SUSPECT_CALLS) ? capacity : 0;
		}
		double rating = load / Math.max(1, upstream.slots()) + distance(upstream) + FAILURE_PENALTY * excess;
		return new Candidate(state, load, capacity, rating);
	}

	private double distance(Upstream upstream) {
		if (!upstream.region().equals(this.settings.region())) {
			return OTHER_REGION_PENALTY;
		}
		return upstream.dataCentre().equals(this.settings.dataCentre()) ? 0 : OTHER_DATA_CENTRE_PENALTY;
	}

	/**
	 * Engines turn cold without notice, so each gateway always keeps to its part of the
	 * calls that a cold engine bears.
	 */
	private boolean withinColdLimit(UpstreamState state, @Nullable ServiceProfile profile, int gateways,
			long nowMillis) {
		if (!(profile instanceof ServiceProfile.Engines engines) || engines.coldPerSecond() <= 0) {
			return true;
		}
		double total = engines.coldPerSecond() * this.settings.coldOverage() + this.settings.coldSlack();
		int sharing = state.gateways(nowMillis).orElse(gateways);
		return state.sentWithinSecond(nowMillis) < Math.max(1, Math.floor(COLD_USE * total / sharing));
	}

	/**
	 * An upstream that may run a call, with its rating.
	 *
	 * @param state the upstream
	 * @param load calls that it holds
	 * @param capacity calls that it may hold
	 * @param rating lower is better
	 */
	record Candidate(UpstreamState state, double load, double capacity, double rating) {
	}

}
