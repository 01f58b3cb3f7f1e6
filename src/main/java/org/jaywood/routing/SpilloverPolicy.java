package org.jaywood.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Decides when calls leave their data centre for another one. Designed for engines in
 * several data centres of which some have too few for their callers, over links that are
 * slow and narrow. A data centre that has a free slot never sends. One that is full sends
 * to those with room to spare, the number of its calls there growing from a few, so that
 * full data centres do not swap their load. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class SpilloverPolicy implements DataCentreChoice {

	/**
	 * Share of the slots of another data centre that has to be free before the first call
	 * is sent there. Reports are some hundred milliseconds old, and its own callers come
	 * first.
	 */
	private static final double MIN_FREE_SHARE = 0.06;

	/**
	 * Share from which it is full again, lower so that a call more or less does not
	 * change the decision.
	 */
	private static final double MIN_FREE_SHARE_IN_USE = 0.03;

	/**
	 * Wait that has to be saved beyond the time of the way. Estimates are no more exact,
	 * and a link is worth keeping free.
	 */
	private static final double MIN_SAVED_MILLIS = 10;

	private final Map<Key, Pair> pairs = new HashMap<>();

	@Override
	public Decision decide(String service, Capacity here, Collection<Capacity> others, long nowMillis) {
		return decide(here, others, (there) -> pair(service, there, nowMillis), nowMillis);
	}

	@Override
	public DataCentreChoice readOnly() {
		return (service, here, others, nowMillis) -> decide(here, others, (there) -> pairOf(service, there).copy(),
				nowMillis);
	}

	private static Decision decide(Capacity here, Collection<Capacity> others, Function<Capacity, Pair> pairs,
			long nowMillis) {
		if (here.slots() == 0) {
			return new Decision(true, Set.of(), SpilloverReason.NO_ENGINE);
		}
		if (here.freeSlot()) {
			return new Decision(false, Set.of(here.dataCentre()), SpilloverReason.LOCAL);
		}
		Set<String> dataCentres = others.stream()
			.filter((there) -> isWorthLeaving(here, there))
			.filter((there) -> pairs.apply(there).admits(there, nowMillis))
			.map(Capacity::dataCentre)
			.collect(Collectors.toSet());
		return dataCentres.isEmpty() ? new Decision(false, Set.of(here.dataCentre()), SpilloverReason.LOCAL)
				: new Decision(false, dataCentres, here.open() ? SpilloverReason.WAIT : SpilloverReason.FULL);
	}

	private Pair pairOf(String service, Capacity there) {
		return this.pairs.getOrDefault(new Key(service, there.dataCentre()), new Pair());
	}

	private Pair pair(String service, Capacity there, long nowMillis) {
		Key key = new Key(service, there.dataCentre());
		Pair known = this.pairs.get(key);
		if (known != null) {
			return known;
		}
		// An idle pair resets on next use anyway, so it can be dropped.
		this.pairs.values().removeIf((pair) -> pair.idle(nowMillis));
		Pair added = new Pair();
		this.pairs.put(key, added);
		return added;
	}

	/**
	 * Whether the wait here outweighs the way. A call that no engine here takes waits for
	 * as long as all calls before it, which is longer than any way with room at its end.
	 */
	private static boolean isWorthLeaving(Capacity here, Capacity there) {
		if (here.open() && here.waitMillis() >= 0 && there.pathMillis() >= 0) {
			return here.waitMillis() > there.pathMillis() + there.delayMillis() + MIN_SAVED_MILLIS;
		}
		return !here.open() || here.lowestLoad() - there.lowestLoad() > there.distancePenalty();
	}

	private record Key(String service, String dataCentre) {
	}

	/**
	 * What is known about sending calls of one service to one other data centre.
	 */
	private static final class Pair {

		/** Calls of this gateway there with which sending begins. */
		private static final double FIRST_CALLS = 4;

		/**
		 * Interval at which the number may double or is halved. Agents report changes
		 * about as often.
		 */
		private static final long STEP_MILLIS = 100;

		/**
		 * Time without a call to send after which sending begins anew. It is longer than
		 * a call takes, so that a call which ends does not end the sending.
		 */
		private static final long IDLE_MILLIS = 2_000;

		/**
		 * Delay of reports that shows a queue on the link: several times the latency
		 * between regions. The number of calls there grows no more; it is not reduced,
		 * since the wait here may be longer than the queue.
		 */
		private static final long CONGESTED_DELAY_MILLIS = 50;

		/** Delay from which the path counts as untimely; the number is halved. */
		private static final long UNTIMELY_DELAY_MILLIS = 250;

		private boolean inUse;

		private double maxCalls = FIRST_CALLS;

		private long steppedMillis = Long.MIN_VALUE / 2;

		private long neededMillis = Long.MIN_VALUE / 2;

		Pair copy() {
			Pair copy = new Pair();
			copy.inUse = this.inUse;
			copy.maxCalls = this.maxCalls;
			copy.steppedMillis = this.steppedMillis;
			copy.neededMillis = this.neededMillis;
			return copy;
		}

		/**
		 * Whether another call may be sent.
		 */
		boolean admits(Capacity there, long nowMillis) {
			if (idle(nowMillis)) {
				this.inUse = false;
				this.maxCalls = FIRST_CALLS;
				this.steppedMillis = nowMillis;
			}
			this.neededMillis = nowMillis;
			step(there, nowMillis);
			this.inUse = there.freeSlot() && there.freeShare() >= (this.inUse ? MIN_FREE_SHARE_IN_USE : MIN_FREE_SHARE);
			return this.inUse && there.ownCalls() < this.maxCalls;
		}

		/**
		 * Whether no call was to be sent lately.
		 */
		boolean idle(long nowMillis) {
			return nowMillis - this.neededMillis > IDLE_MILLIS;
		}

		private void step(Capacity there, long nowMillis) {
			if (nowMillis - this.steppedMillis < STEP_MILLIS) {
				return;
			}
			this.steppedMillis = nowMillis;
			if (there.delayMillis() >= UNTIMELY_DELAY_MILLIS) {
				this.maxCalls = Math.max(1, this.maxCalls / 2);
			}
			else if (there.delayMillis() < CONGESTED_DELAY_MILLIS && there.ownCalls() >= this.maxCalls) {
				this.maxCalls *= 2;
			}
		}

	}

}
