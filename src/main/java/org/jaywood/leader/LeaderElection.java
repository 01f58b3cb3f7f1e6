package org.jaywood.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * Decides when this process reads, takes and renews the lease, and for how long it may
 * act as the leader. It answers the load of a few tens of candidates, any of which may be
 * killed, suspended or cut off at any time, on a store that may lose responses, execute
 * writes late and come back from an older copy. {@code docs/design/leader-election.md}
 * has the table of states and events. All times are boot times. Steps are made by one
 * thread; the other methods may be called by any.
 */
public final class LeaderElection {

	private final String vm;

	private final Address address;

	private final String process;

	private final LeaseTiming timing;

	private final RandomGenerator random;

	/** Highest era of a response, or -1 before the first one. */
	private long era = -1;

	private long eraSinceMillis;

	/** Highest term that was seen in an object written in this era. */
	private long highestTerm;

	private @Nullable Observation observed;

	/**
	 * Whether an old read allows a write, so that a fresh one has to confirm it. A
	 * restored store gives revisions out again, so the revision alone does not show that
	 * the object, whose states are inherited, is the one that was read.
	 */
	private boolean confirming;

	/** Whether a fresh read was the last step, so that a write may follow. */
	private boolean readBefore;

	/** Token of the term that this process gave up last, or -1. */
	private long resignedToken = -1;

	private long dueMillis;

	private volatile LeaseResponse.@Nullable Found lastSeen;

	private volatile @Nullable Held held;

	/**
	 * Creates a candidate.
	 * @param vm name of the VM of this process
	 * @param address operator port of this process
	 * @param process random id of this process
	 * @param random spreads the reads of the candidates
	 */
	public LeaderElection(String vm, Address address, String process, LeaseTiming timing, RandomGenerator random) {
		this.vm = vm;
		this.address = address;
		this.process = process;
		this.timing = timing;
		this.random = random;
	}

	/**
	 * Returns the term of this process if it may act as the leader now.
	 */
	public Optional<LeaderTerm> term(long nowMillis) {
		Held current = this.held;
		return (current != null && current.term().isValid(nowMillis)) ? Optional.of(current.term()) : Optional.empty();
	}

	/**
	 * Returns the last lease object that was read or written, or null if there is none.
	 * It may be seconds old.
	 */
	public @Nullable Lease lastSeen() {
		LeaseResponse.Found found = this.lastSeen;
		return (found != null) ? found.lease() : null;
	}

	/**
	 * Returns what to do now.
	 * @param states states of the leader tasks, which replace those of the same names in
	 * the lease when it is renewed
	 */
	public synchronized Step next(Supplier<Map<String, JsonNode>> states, long nowMillis) {
		Held current = this.held;
		if (current != null && !current.term().isValid(nowMillis)) {
			endTerm(nowMillis);
			current = null;
		}
		if (nowMillis < this.dueMillis) {
			return new Step.Pause(this.dueMillis);
		}
		if (current != null) {
			Lease renewed = lease(current.lease().term(), merge(current.lease().states(), states.get()));
			return new Step.Replace(renewed, current.revision(), Step.Purpose.RENEW);
		}
		Observation latest = this.observed;
		if (!this.readBefore || latest == null) {
			return new Step.Read(this.confirming);
		}
		if (latest.found() == null) {
			return new Step.Create(lease(this.highestTerm + 1, Map.of()));
		}
		LeaseResponse.Found found = latest.found();
		if (resumable(found)) {
			return new Step.Replace(found.lease(), found.revision(), Step.Purpose.RESUME);
		}
		long term = Math.max(found.lease().term(), this.highestTerm) + 1;
		return new Step.Replace(lease(term, found.lease().states()), found.revision(), Step.Purpose.TAKE);
	}

	/**
	 * Takes in a response of the store.
	 * @param step the step that was executed
	 * @param sentMillis time before its request was sent
	 * @return what has changed
	 */
	public synchronized Change onResponse(Step step, LeaseResponse response, long sentMillis, long nowMillis) {
		if (response.era() < this.era) {
			return onFailure(step, nowMillis);
		}
		if (response.era() > this.era) {
			return onEraRise(response.era(), nowMillis);
		}
		return switch (response) {
			case LeaseResponse.Found found -> onFound(step, found, nowMillis);
			case LeaseResponse.Missing missing -> onMissing(step, nowMillis);
			case LeaseResponse.Written written -> onWritten(step, written, sentMillis, nowMillis);
			case LeaseResponse.Conflict conflict -> onConflict(step, conflict.current(), nowMillis);
		};
	}

	/**
	 * Takes in that a step brought no response, or a refusal.
	 */
	public synchronized Change onFailure(Step step, long nowMillis) {
		this.readBefore = false;
		this.confirming = false;
		if (this.held != null) {
			this.dueMillis = nowMillis + this.timing.retryMillis();
		}
		else {
			pauseCandidate(nowMillis);
		}
		return Change.NONE;
	}

	/**
	 * Takes in the token of a leader that was learned from that leader itself, so that no
	 * later term of this process has it.
	 */
	public synchronized void onTokenSeen(long token) {
		if (token >> Lease.TERM_BITS == this.era) {
			this.highestTerm = Math.max(this.highestTerm, token & ((1L << Lease.TERM_BITS) - 1));
		}
	}

	/**
	 * Gives up the lease, which is not renewed any more, so that another process takes it
	 * when its time is over. This process takes it again only if no other one does.
	 */
	public synchronized void resign(long nowMillis) {
		Held current = this.held;
		if (current != null) {
			this.resignedToken = current.term().token();
			endTerm(nowMillis);
			pauseCandidate(nowMillis);
		}
	}

	/**
	 * Returns what a task with the given name inherits in the present term.
	 */
	public synchronized Handover handover(String task) {
		Held current = this.held;
		if (current == null) {
			throw new IllegalStateException("this process is not the leader");
		}
		SavedState inherited = current.inherited().get(task);
		return new Handover(current.term(), (inherited != null) ? inherited.value() : null,
				inherited != null && inherited.era() == this.era, this.eraSinceMillis);
	}

	private Change onEraRise(long latestEra, long nowMillis) {
		boolean held = this.held != null;
		this.era = latestEra;
		this.eraSinceMillis = nowMillis;
		this.highestTerm = 0;
		this.observed = null;
		this.lastSeen = null;
		this.held = null;
		this.readBefore = false;
		this.confirming = false;
		this.dueMillis = nowMillis;
		return held ? Change.ENDED : Change.NONE;
	}

	private Change onFound(Step step, LeaseResponse.Found found, long nowMillis) {
		observe(found, nowMillis);
		afterRead(step, resumable(found) || mayTake(nowMillis), nowMillis);
		return Change.NONE;
	}

	private void afterRead(Step step, boolean mayWrite, long nowMillis) {
		boolean fresh = step instanceof Step.Read read && read.fresh();
		this.confirming = mayWrite && !fresh;
		this.readBefore = mayWrite && fresh;
		if (!mayWrite) {
			pauseCandidate(nowMillis);
		}
	}

	private Change onMissing(Step step, long nowMillis) {
		boolean ended = this.held != null;
		this.held = null;
		this.lastSeen = null;
		Observation latest = this.observed;
		if (latest == null || latest.found() != null) {
			this.observed = new Observation(null, nowMillis);
		}
		afterRead(step, step instanceof Step.Read && mayTake(nowMillis), nowMillis);
		return ended ? Change.ENDED : Change.NONE;
	}

	private Change onWritten(Step step, LeaseResponse.Written written, long sentMillis, long nowMillis) {
		Lease lease = switch (step) {
			case Step.Create create -> create.lease();
			case Step.Replace replace -> replace.lease();
			case Step.Pause pause -> throw new IllegalStateException("no write");
			case Step.Read read -> throw new IllegalStateException("no write");
		};
		LeaderTerm term = new LeaderTerm(this.vm, lease.token(), sentMillis + this.timing.actMillis());
		Held before = this.held;
		this.readBefore = false;
		this.confirming = false;
		LeaseResponse.Found found = new LeaseResponse.Found(written.era(), written.revision(), lease);
		this.held = new Held(term, found.revision(), lease, (before != null) ? before.inherited() : lease.states());
		observe(found, nowMillis);
		this.dueMillis = sentMillis + this.timing.renewMillis();
		return (before != null) ? Change.RENEWED : Change.ACQUIRED;
	}

	private Change onConflict(Step step, LeaseResponse.@Nullable Found current, long nowMillis) {
		this.readBefore = false;
		this.confirming = false;
		Held before = this.held;
		if (before != null && current != null && resumable(current)
				&& current.lease().term() == before.lease().term()) {
			// A write whose response was lost had been executed; renewed again at once.
			this.held = new Held(before.term(), current.revision(), current.lease(), before.inherited());
			observe(current, nowMillis);
			this.dueMillis = nowMillis;
			return Change.NONE;
		}
		this.held = null;
		if (current != null) {
			observe(current, nowMillis);
		}
		pauseCandidate(nowMillis);
		return (before != null) ? Change.ENDED : Change.NONE;
	}

	private void observe(LeaseResponse.Found found, long nowMillis) {
		Observation latest = this.observed;
		if (latest == null || latest.found() == null || !latest.found().equals(found)) {
			this.observed = new Observation(found, nowMillis);
		}
		if (found.lease().era() == this.era) {
			this.highestTerm = Math.max(this.highestTerm, found.lease().term());
		}
		else if (this.highestTerm > 0) {
			// A late write of an earlier era may have replaced an object of this one, so
			// what has been saved since may be missing.
			this.eraSinceMillis = nowMillis;
		}
		this.lastSeen = found;
	}

	/**
	 * Whether the object is a write of this process in this era, whose response was lost.
	 * Nobody else can have been the leader since.
	 */
	private boolean resumable(LeaseResponse.Found found) {
		return found.lease().process().equals(this.process) && found.lease().era() == this.era
				&& found.lease().token() != this.resignedToken;
	}

	private boolean mayTake(long nowMillis) {
		Observation latest = this.observed;
		return latest != null && nowMillis - latest.sinceMillis() >= waitMillis(latest);
	}

	private long waitMillis(Observation latest) {
		LeaseResponse.Found found = latest.found();
		boolean resigned = found != null && found.lease().token() == this.resignedToken;
		return resigned ? this.timing.retakeMillis() : this.timing.takeoverMillis();
	}

	private void endTerm(long nowMillis) {
		this.held = null;
		this.readBefore = false;
		this.confirming = false;
		this.dueMillis = nowMillis;
	}

	private void pauseCandidate(long nowMillis) {
		long pollMillis = this.random.nextLong(this.timing.minPollMillis(), this.timing.maxPollMillis() + 1);
		Observation latest = this.observed;
		long takeoverInMillis = (latest != null) ? latest.sinceMillis() + waitMillis(latest) - nowMillis : 0;
		this.dueMillis = nowMillis + ((takeoverInMillis > 0) ? Math.min(pollMillis, takeoverInMillis) : pollMillis);
	}

	private Lease lease(long term, Map<String, SavedState> states) {
		return new Lease(this.vm, this.address, this.process, term, this.era, states);
	}

	private Map<String, SavedState> merge(Map<String, SavedState> saved, Map<String, JsonNode> latest) {
		Map<String, SavedState> merged = new HashMap<>(saved);
		latest.forEach((task, value) -> merged.put(task, new SavedState(this.era, value)));
		return merged;
	}

	/**
	 * What a response has changed.
	 */
	public enum Change {

		/** Nothing that a leader task needs to know. */
		NONE,

		/** This process has become the leader. */
		ACQUIRED,

		/** The lease is renewed, and the states are saved. */
		RENEWED,

		/** This process is no longer the leader. */
		ENDED

	}

	/**
	 * What the process does next.
	 */
	public sealed interface Step {

		/**
		 * Why the object is replaced.
		 */
		enum Purpose {

			/** This process takes over from another one, or from an earlier term. */
			TAKE,

			/** A write of this process was executed, but its response was lost. */
			RESUME,

			/** This process is the leader. */
			RENEW

		}

		/**
		 * Nothing until a boot time.
		 *
		 * @param untilMillis that time
		 */
		record Pause(long untilMillis) implements Step {
		}

		/**
		 * Reads the object.
		 *
		 * @param fresh whether the result must not be old
		 */
		record Read(boolean fresh) implements Step {
		}

		/**
		 * Creates the object.
		 *
		 * @param lease its content
		 */
		record Create(Lease lease) implements Step {
		}

		/**
		 * Replaces the object.
		 *
		 * @param lease new content
		 * @param revision revision that the object must have
		 * @param purpose why it is replaced
		 */
		record Replace(Lease lease, long revision, Purpose purpose) implements Step {
		}

	}

	/**
	 * Object as it was seen first with its revision.
	 *
	 * @param found the object, or null if there is none
	 * @param sinceMillis when it was seen first
	 */
	private record Observation(LeaseResponse.@Nullable Found found, long sinceMillis) {
	}

	/**
	 * Lease that this process holds.
	 *
	 * @param term present term
	 * @param revision revision of the object
	 * @param lease its content
	 * @param inherited states that the term began with
	 */
	private record Held(LeaderTerm term, long revision, Lease lease, Map<String, SavedState> inherited) {
	}

}
