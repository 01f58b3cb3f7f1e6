package org.jaywood.routing;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Ranks engines by the expected time to the first event of a call: the work that they
 * hold, as far as this gateway knows it, over their measured speed. Designed for engines
 * of different speeds, or some that are slow for seconds, and for calls of widely varying
 * lengths. While the speeds of a service are about equal, engines are ranked by their
 * number of calls, and plain upstreams always are. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class WorkRanking implements EngineRanking {

	private final Map<String, ServiceSpeeds> services = new HashMap<>();

	private final AnswerLengths lengths = new AnswerLengths();

	@Override
	public void refresh(String service, long nowMillis) {
		speeds(service).refresh(nowMillis);
	}

	@Override
	public double cost(UpstreamState state, double load, CallRequirements requirements,
			@Nullable ServiceProfile profile, long nowMillis) {
		ServiceSpeeds speeds = speeds(state.upstream().service());
		if (!(profile instanceof ServiceProfile.Engines) || !speeds.uneven(nowMillis)) {
			return LoadRanking.cost(state, load);
		}
		EngineEstimate estimate = estimate(state, load, requirements, nowMillis);
		return estimate.firstEventMillis() / speeds.callMillis();
	}

	@Override
	public double waitMillis(UpstreamState state, double load, CallRequirements requirements, long nowMillis) {
		return estimate(state, load, requirements, nowMillis).waitMillis();
	}

	/**
	 * Estimates the time to the first event of a call at an engine.
	 * @param calls calls that the engine holds
	 */
	EngineEstimate estimate(UpstreamState state, double calls, CallRequirements requirements, long nowMillis) {
		ServiceSpeeds speeds = speeds(state.upstream().service());
		UsualPace usual = speeds.usual();
		double ownReadMillis = usual.firstMillis(requirements.cost().promptTokens());
		return EngineEstimate.of(engineLoad(state, calls, speeds), ownReadMillis,
				speeds.slowness(state.upstream(), nowMillis));
	}

	/**
	 * Returns the work of an engine. Of the calls of other gateways only the number is
	 * known: they are taken as usual ones, half done.
	 */
	private static EngineEstimate.EngineLoad engineLoad(UpstreamState state, double calls, ServiceSpeeds speeds) {
		UsualPace usual = speeds.usual();
		double others = Math.max(0, calls - state.inFlight());
		double meanReadMillis = usual.firstMillis(0);
		double callMillis = speeds.callMillis();
		double othersUnread = others * Math.min(1, meanReadMillis / callMillis);
		double ownWorkMillis = state.sumOfRunning((attempt) -> workLeftMillis(attempt, usual));
		double ownUnreadMillis = state.sumOfRunning((attempt) -> unreadMillis(attempt, usual));
		return new EngineEstimate.EngineLoad(state.upstream().slots(), calls, ownWorkMillis + others * callMillis / 2,
				ownUnreadMillis + othersUnread * meanReadMillis / 2);
	}

	private static double workLeftMillis(AttemptActivity attempt, UsualPace usual) {
		CallSize size = attempt.observer().size();
		double events = (size != null) ? size.answerEvents() : 1;
		return unreadMillis(attempt, usual) + Math.max(1, events - attempt.progressCount()) * usual.gapMillis();
	}

	private static double unreadMillis(AttemptActivity attempt, UsualPace usual) {
		CallSize size = attempt.observer().size();
		return attempt.begun() ? 0 : usual.firstMillis((size != null) ? size.promptTokens() : 0);
	}

	@Override
	public AttemptObserver observer(UpstreamState state, double load, CallRequirements requirements,
			@Nullable ServiceProfile profile, long nowMillis) {
		if (!(profile instanceof ServiceProfile.Engines)) {
			return AttemptObserver.NONE;
		}
		ServiceSpeeds speeds = speeds(state.upstream().service());
		long expectedMillis = Math.round(estimate(state, load, requirements, nowMillis).firstEventMillis());
		return new AttemptObserver(this.lengths.size(requirements), expectedMillis, speeds.of(state.upstream()),
				speeds.usual());
	}

	@Override
	public void onEnd(AttemptActivity activity, Outcome outcome) {
		CallSize size = activity.observer().size();
		if (outcome == Outcome.ANSWERED && size != null && activity.begun()) {
			this.lengths.onAnswer(size.kind(), activity.progressCount());
			speeds(size.kind().service()).onAnswered(activity.answerMillis());
		}
	}

	@Override
	public double slowness(Upstream upstream, long nowMillis) {
		return speeds(upstream.service()).slowness(upstream, nowMillis);
	}

	private ServiceSpeeds speeds(String service) {
		return this.services.computeIfAbsent(service, (key) -> new ServiceSpeeds());
	}

}
