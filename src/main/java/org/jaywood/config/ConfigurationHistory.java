package org.jaywood.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jaywood.store.Futures;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.wire.Json;

/**
 * Applied configurations in the store, one object per generation. Entries are created and
 * never changed.
 */
public final class ConfigurationHistory {

	/** Kind of the stored objects. */
	public static final String KIND = "history";

	/**
	 * Number of consecutive generations without an entry after which a listing ends. An
	 * apply skips numbers after the platform was restored to an older configuration.
	 */
	private static final int MAX_GAP_GENERATIONS = 64;

	private final ObjectStore store;

	ConfigurationHistory(ObjectStore store) {
		this.store = store;
	}

	public Optional<AppliedConfiguration> find(long generation) {
		try {
			return Optional.of(Json.read(Futures.await(this.store.get(KIND, Long.toString(generation))).value(),
					AppliedConfiguration.class));
		}
		catch (PlatformException ex) {
			if (ex.kind() == Kind.NOT_FOUND) {
				return Optional.empty();
			}
			throw ex;
		}
	}

	/**
	 * Lists entries, latest first.
	 * @param latest generation to start with
	 * @param limit largest number of entries
	 */
	public List<AppliedConfiguration> list(long latest, int limit) {
		List<AppliedConfiguration> entries = new ArrayList<>();
		int gap = 0;
		for (long generation = latest; generation > 0 && entries.size() < limit
				&& gap < MAX_GAP_GENERATIONS; generation--) {
			Optional<AppliedConfiguration> entry = find(generation);
			entry.ifPresent(entries::add);
			gap = entry.isPresent() ? 0 : gap + 1;
		}
		return entries;
	}

	boolean contains(AppliedConfiguration applied) {
		return find(applied.generation()).filter((entry) -> entry.applyId().equals(applied.applyId())).isPresent();
	}

	/**
	 * Creates an entry unless the generation already has one.
	 */
	void addIfAbsent(AppliedConfiguration applied) {
		try {
			Futures.await(this.store.create(KIND, Long.toString(applied.generation()), Json.bytes(applied)));
		}
		catch (PlatformException ex) {
			if (ex.kind() != Kind.CONFLICT) {
				throw ex;
			}
		}
	}

	/**
	 * Returns a generation without an entry, at least the candidate. After the platform
	 * was restored to an older configuration, later entries may still exist. The step
	 * doubles, so that few reads are needed even if there are many of them.
	 */
	long findUnusedGeneration(long candidate) {
		long generation = candidate;
		long step = 1;
		while (find(generation).isPresent()) {
			generation += step;
			step *= 2;
		}
		return generation;
	}

}
