package org.jaywood.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Calls under which engines ended, and the parts of prompts that they point to. A part is
 * blocked once it explains enough ends ({@link CrashAnalysis}). A part of which any
 * gateway has seen an answer that went on is sound, whatever ended beside it.
 * <p>
 * Tables merge in any order and with any repetition of messages, so that gateways and
 * agents reach the same result. Safe for use by several threads.
 */
public final class CrashEvidence {

	/**
	 * Time for which an answer shows that a part is sound. A part may turn bad, for
	 * example with other weights.
	 */
	static final long PROOF_LIFETIME_MILLIS = 60_000;

	/** Time after which the end of an engine is forgotten. */
	static final long LIFETIME_MILLIS = 24 * 60 * 60_000;

	/** Calls that are kept. */
	static final int MAX_CRASHES = 512;

	/** Calls that are kept for one end of an engine. */
	static final int MAX_CRASHES_PER_END = 32;

	/** Sound parts that are kept. */
	static final int MAX_SOUND_PARTS = 512;

	/** Parts of one call that are kept. */
	private static final int MAX_PARTS = 64;

	private static final int MAX_NAME_CHARS = 200;

	private final Map<CrashAnalysis.Crash, Entry> crashes = new LinkedHashMap<>();

	private final Map<String, Entry> soundParts = new LinkedHashMap<>();

	private List<BlockedParts> blocked = List.of();

	private long sequence;

	/**
	 * Returns the name of an incarnation of an engine.
	 */
	public static String incarnation(Upstream engine) {
		return engine.id() + "@" + engine.bornMillis();
	}

	/**
	 * Adds a call under which an engine ended.
	 * @param engine incarnation of the engine
	 * @param parts parts of the call that may be the cause
	 * @param begun whether the engine had begun to answer the call
	 * @param endMillis boot time of the end
	 * @return whether this is news
	 */
	public synchronized boolean addCrash(String engine, Set<String> parts, boolean begun, long endMillis,
			long nowMillis) {
		Set<String> suspects = parts.stream()
			.limit(MAX_PARTS)
			.filter((part) -> !provenFor(part, endMillis))
			.collect(Collectors.toCollection(TreeSet::new));
		if (suspects.isEmpty() || engine.length() > MAX_NAME_CHARS || nowMillis - endMillis > LIFETIME_MILLIS) {
			return false;
		}
		CrashAnalysis.Crash crash = new CrashAnalysis.Crash(engine, Set.copyOf(suspects), begun);
		Entry known = this.crashes.get(crash);
		if (known != null) {
			this.crashes.put(crash, known.atMost(endMillis));
			findBlocked();
			return false;
		}
		if (!makeRoom(engine, nowMillis)) {
			return false;
		}
		this.crashes.put(crash, new Entry(endMillis, ++this.sequence));
		findBlocked();
		return true;
	}

	/**
	 * Adds that a part is sound.
	 * @param provenMillis boot time at which an engine went on with an answer
	 * @return whether this is news
	 */
	public synchronized boolean addSound(String part, long provenMillis, long nowMillis) {
		Entry known = this.soundParts.get(part);
		boolean news = known == null || provenMillis > known.millis() + PROOF_LIFETIME_MILLIS / 2
				|| (provenMillis > known.millis() && implicates(part, provenMillis));
		if (!news || part.length() > MAX_NAME_CHARS || nowMillis - provenMillis > LIFETIME_MILLIS) {
			return false;
		}
		this.soundParts.remove(part);
		this.soundParts.put(part, new Entry(provenMillis, ++this.sequence));
		if (this.soundParts.size() > MAX_SOUND_PARTS) {
			this.soundParts.remove(this.soundParts.keySet().iterator().next());
		}
		removeParts(part);
		findBlocked();
		return true;
	}

	/**
	 * Merges a message of another process.
	 * @return whether it contained news
	 */
	public synchronized boolean merge(EvidenceMessage message, long nowMillis) {
		// Sound parts come first, so that they are not taken for suspects in between.
		long soundNews = message.sound()
			.stream()
			.limit(MAX_SOUND_PARTS)
			.filter((record) -> addSound(record.part(), nowMillis - Math.max(0, record.ageMillis()), nowMillis))
			.count();
		long crashNews = message.crashes()
			.stream()
			.limit(MAX_CRASHES)
			.filter((record) -> addCrash(record.engine(), record.parts(), record.begun(),
					nowMillis - Math.max(0, record.ageMillis()), nowMillis))
			.count();
		return soundNews + crashNews > 0;
	}

	/**
	 * Returns the blocked parts that a prompt has, if any.
	 */
	public synchronized Optional<BlockedParts> blocking(Set<String> parts) {
		return this.blocked.stream().filter((each) -> each.affects(parts)).findFirst();
	}

	/**
	 * Returns all blocked parts.
	 */
	public synchronized List<BlockedParts> blocked() {
		return this.blocked;
	}

	/**
	 * Whether a part is among the suspects of a call under which an engine ended.
	 */
	synchronized boolean suspected(String part) {
		return this.crashes.keySet().stream().anyMatch((crash) -> crash.parts().contains(part));
	}

	/**
	 * Returns the suspects of all calls under which engines ended.
	 */
	synchronized Stream<String> suspects() {
		return this.crashes.keySet().stream().flatMap((crash) -> crash.parts().stream()).distinct().toList().stream();
	}

	/**
	 * Whether a part is known to be sound at a time.
	 */
	synchronized boolean proven(String part, long nowMillis) {
		return provenFor(part, nowMillis);
	}

	/**
	 * Forgets what is too old.
	 */
	public synchronized void expire(long nowMillis) {
		boolean removed = this.crashes.values().removeIf((entry) -> nowMillis - entry.millis() > LIFETIME_MILLIS);
		this.soundParts.values().removeIf((entry) -> nowMillis - entry.millis() > LIFETIME_MILLIS);
		if (removed) {
			findBlocked();
		}
	}

	/**
	 * Returns the sequence number of the last change.
	 */
	public synchronized long sequence() {
		return this.sequence;
	}

	/**
	 * Returns changes in the order in which they were made.
	 * @param after sequence number of the last change that is known to the reader
	 * @param limit number of changes to return at most
	 */
	public synchronized Changes changes(long after, int limit, long nowMillis) {
		List<Change> changes = new ArrayList<>();
		this.crashes.forEach((crash, entry) -> changes.add(new Change(entry.sequence(),
				new CrashRecord(crash.engine(), crash.parts(), crash.begun(), nowMillis - entry.millis()), null)));
		this.soundParts.forEach((part, entry) -> changes
			.add(new Change(entry.sequence(), null, new SoundRecord(part, nowMillis - entry.millis()))));
		List<Change> due = changes.stream()
			.filter((change) -> change.sequence() > after)
			.sorted(Comparator.comparingLong(Change::sequence))
			.limit(limit)
			.toList();
		long last = due.isEmpty() ? Math.max(after, this.sequence) : due.getLast().sequence();
		return new Changes(last, due);
	}

	private boolean provenFor(String part, long endMillis) {
		Entry proof = this.soundParts.get(part);
		return proof != null && endMillis <= proof.millis() + PROOF_LIFETIME_MILLIS;
	}

	private boolean implicates(String part, long provenMillis) {
		return this.crashes.entrySet()
			.stream()
			.anyMatch((each) -> each.getKey().parts().contains(part)
					&& each.getValue().millis() <= provenMillis + PROOF_LIFETIME_MILLIS);
	}

	/**
	 * Removes a sound part from the suspects of the calls.
	 */
	private void removeParts(String part) {
		Map<CrashAnalysis.Crash, Entry> affected = this.crashes.entrySet()
			.stream()
			.filter((each) -> each.getKey().parts().contains(part) && provenFor(part, each.getValue().millis()))
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
		affected.forEach((crash, entry) -> {
			this.crashes.remove(crash);
			Set<String> remaining = crash.parts()
				.stream()
				.filter((each) -> !each.equals(part))
				.collect(Collectors.toUnmodifiableSet());
			if (!remaining.isEmpty()) {
				this.crashes.merge(new CrashAnalysis.Crash(crash.engine(), remaining, crash.begun()), entry,
						(known, added) -> known.atMost(added.millis()));
			}
		});
	}

	/**
	 * Makes room for one more call, at the cost of the oldest one that supports no block.
	 * @return whether there is room
	 */
	private boolean makeRoom(String engine, long nowMillis) {
		long ofEngine = this.crashes.keySet().stream().filter((crash) -> crash.engine().equals(engine)).count();
		if (ofEngine >= MAX_CRASHES_PER_END) {
			return false;
		}
		if (this.crashes.size() >= MAX_CRASHES) {
			expire(nowMillis);
		}
		if (this.crashes.size() < MAX_CRASHES) {
			return true;
		}
		Optional<CrashAnalysis.Crash> oldest = this.crashes.entrySet()
			.stream()
			.filter((each) -> blocking(each.getKey().parts()).isEmpty())
			.min(Comparator.comparingLong((each) -> each.getValue().millis()))
			.map(Map.Entry::getKey);
		oldest.ifPresent(this.crashes::remove);
		return oldest.isPresent();
	}

	private void findBlocked() {
		List<CrashAnalysis.Cause> causes = new CrashAnalysis(this.crashes.keySet()).causes();
		this.blocked = causes.stream()
			.map((cause) -> new BlockedParts(cause.parts(), cause.engines().size(), lastEndMillis(cause)))
			.toList();
	}

	private long lastEndMillis(CrashAnalysis.Cause cause) {
		return this.crashes.entrySet()
			.stream()
			.filter((each) -> cause.engines().contains(each.getKey().engine()))
			.mapToLong((each) -> each.getValue().millis())
			.max()
			.orElse(Long.MIN_VALUE);
	}

	/**
	 * Change of a table: a call under which an engine ended, or a sound part.
	 *
	 * @param sequence its sequence number
	 * @param crash the call, or null
	 * @param sound the part, or null
	 */
	public record Change(long sequence, @Nullable CrashRecord crash, @Nullable SoundRecord sound) {
	}

	/**
	 * Some changes of a table, in their order.
	 *
	 * @param last sequence number up to which they are complete
	 * @param list the changes
	 */
	public record Changes(long last, List<Change> list) {

		/**
		 * Returns the changes as a message.
		 */
		public EvidenceMessage message() {
			return new EvidenceMessage(this.list.stream().map(Change::crash).filter(Objects::nonNull).toList(),
					this.list.stream().map(Change::sound).filter(Objects::nonNull).toList());
		}

	}

	/**
	 * Boot time of what happened and sequence number of the change that recorded it.
	 */
	private record Entry(long millis, long sequence) {

		/**
		 * Returns the entry with the earlier of two times. Ages lack the time that
		 * messages were in transit, so the later one has been told over more processes.
		 */
		Entry atMost(long otherMillis) {
			return new Entry(Math.min(this.millis, otherMillis), this.sequence);
		}

	}

}
