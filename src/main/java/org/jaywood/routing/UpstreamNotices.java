package org.jaywood.routing;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * What upstreams have said about themselves in their responses: that they leave, that
 * they want no calls for a while, or how many calls they take. A notice belongs to one
 * incarnation and outlives its entry in the list of upstreams, which may be older. Not
 * safe for use by several threads.
 */
final class UpstreamNotices {

	/** Longest pause; an upstream that wants a longer one can ask again. */
	static final long MAX_PAUSE_MILLIS = 600_000;

	/** Time after a pause over which an upstream gets its full load again. */
	static final long RAMP_MILLIS = 2_000;

	private static final int MAX_UPSTREAMS = 4_096;

	private final Map<Incarnation, Notice> notices = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Incarnation, Notice> eldest) {
			return size() > MAX_UPSTREAMS;
		}

	};

	/**
	 * Records that an upstream leaves.
	 * @return whether that is news
	 */
	boolean onLeaving(Upstream upstream) {
		Notice known = notice(upstream);
		this.notices.put(Incarnation.of(upstream), new Notice(true, known.pausedUntilMillis(), known.limit()));
		return !known.leaving();
	}

	/**
	 * Records that an upstream wants no calls for a while. The last request of an
	 * upstream replaces an earlier one, be it longer or shorter, since the upstream knows
	 * its state best when it responds.
	 */
	void onPause(Upstream upstream, long pauseMillis, long nowMillis) {
		long untilMillis = nowMillis + Math.clamp(pauseMillis, 0, MAX_PAUSE_MILLIS);
		Notice known = notice(upstream);
		this.notices.put(Incarnation.of(upstream), new Notice(known.leaving(), untilMillis, known.limit()));
	}

	/**
	 * Records what a response says about a limit. A limit ends with the first response
	 * without one to a call that was sent after it was last named, and then the load
	 * returns as after a pause.
	 * @param placedMillis time at which the call of the response was sent
	 */
	LimitChange onLimit(Upstream upstream, LimitNotice latest, long placedMillis, long nowMillis) {
		Notice known = notice(upstream);
		NamedLimit knownLimit = known.limit();
		return switch (latest) {
			case LimitNotice.Unreadable unreadable -> LimitChange.NONE;
			case LimitNotice.Limited limited -> {
				NamedLimit limit = NamedLimit.after(knownLimit, limited.callsPerSecond(), placedMillis, nowMillis);
				this.notices.put(Incarnation.of(upstream),
						new Notice(known.leaving(), known.pausedUntilMillis(), limit));
				yield limitChange(knownLimit, limit);
			}
			case LimitNotice.None none when knownLimit != null && knownLimit.isOlderThanCallSentAt(placedMillis) -> {
				this.notices.put(Incarnation.of(upstream),
						new Notice(known.leaving(), Math.max(known.pausedUntilMillis(), nowMillis), null));
				yield LimitChange.ENDED;
			}
			case LimitNotice.None none -> LimitChange.NONE;
		};
	}

	private static LimitChange limitChange(@Nullable NamedLimit before, NamedLimit after) {
		if (before == null) {
			return LimitChange.BEGUN;
		}
		return (before.callsPerSecond() == after.callsPerSecond()) ? LimitChange.NONE : LimitChange.CHANGED;
	}

	/**
	 * Returns the limit that an upstream names, or null if it names none.
	 */
	@Nullable NamedLimit limit(Upstream upstream) {
		return notice(upstream).limit();
	}

	boolean leaving(Upstream upstream) {
		return notice(upstream).leaving();
	}

	/**
	 * Returns the time in milliseconds until the end of the pause of an upstream, 0 if it
	 * is not paused.
	 */
	long pauseLeftMillis(Upstream upstream, long nowMillis) {
		return Math.max(0, notice(upstream).pausedUntilMillis() - nowMillis);
	}

	/**
	 * Returns the calls of this gateway that an upstream may hold: none during a pause,
	 * and after it more and more, so that the calls that waited do not come in one
	 * moment.
	 */
	long maxInFlight(Upstream upstream, long nowMillis) {
		long endMillis = notice(upstream).pausedUntilMillis();
		if (endMillis == Notice.NEVER_MILLIS || nowMillis >= endMillis + RAMP_MILLIS) {
			return Long.MAX_VALUE;
		}
		return (nowMillis < endMillis) ? 0 : 1 + upstream.slots() * (nowMillis - endMillis) / RAMP_MILLIS;
	}

	private Notice notice(Upstream upstream) {
		return this.notices.getOrDefault(Incarnation.of(upstream), Notice.NONE);
	}

	/**
	 * Identifies an incarnation, since an upstream may start again under its id.
	 */
	private record Incarnation(String id, long bornMillis) {

		static Incarnation of(Upstream upstream) {
			return new Incarnation(upstream.id(), upstream.bornMillis());
		}

	}

	/**
	 * What one incarnation has said.
	 */
	private record Notice(boolean leaving, long pausedUntilMillis, @Nullable NamedLimit limit) {

		static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

		static final Notice NONE = new Notice(false, NEVER_MILLIS, null);

	}

}
