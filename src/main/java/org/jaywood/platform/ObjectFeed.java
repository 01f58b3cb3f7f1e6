package org.jaywood.platform;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.Feed;
import org.jaywood.feed.FeedEntry;
import org.jaywood.feed.FeedException;
import org.jaywood.feed.FeedPage;
import org.jaywood.platform.StorePage.RawObject;

/**
 * Objects of one kind of the platform's store. An object that cannot be read or decoded
 * has no value, so that it stands for nothing while the others hold, and one without a
 * name is left out. Used by one thread.
 *
 * @param <T> type of the values
 */
final class ObjectFeed<T> implements Feed<T> {

	/** Malformed objects that are remembered, so that each is logged once. */
	private static final int MAX_REMEMBERED_HASHES = 1_000;

	/** Length up to which a name or an error is logged. */
	private static final int MAX_LOGGED_CHARS = 200;

	private final MetadataStoreClient store;

	private final String kind;

	private final Function<JsonNode, T> decoder;

	private final EventLog log;

	/** Hashes of malformed objects that were logged, the latest ones. */
	private final Set<Long> loggedHashes = Collections.newSetFromMap(new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > MAX_REMEMBERED_HASHES;
		}

	});

	/**
	 * Creates a feed.
	 * @param decoder makes a value of an object; an exception means that it is malformed
	 */
	ObjectFeed(MetadataStoreClient store, String kind, Function<JsonNode, T> decoder, EventLog log) {
		this.store = store;
		this.kind = kind;
		this.decoder = decoder;
		this.log = log;
	}

	@Override
	public String name() {
		return this.kind;
	}

	@Override
	public FeedPage<T> list() throws FeedException {
		Map<String, FeedEntry<T>> entries = new LinkedHashMap<>();
		StorePage page = this.store.list(this.kind, "");
		// Changes between two pages are seen by a watch from the first page on.
		long firstRevision = page.revision();
		String after = addPage(page, entries);
		while (page.hasMore()) {
			page = this.store.list(this.kind, after);
			after = addPage(page, entries);
		}
		return new FeedPage<>(firstRevision, List.copyOf(entries.values()));
	}

	/**
	 * Adds the objects of a page.
	 * @return name behind which the list goes on, or empty at its end
	 * @throws FeedException if the list does not go on, though more is said to follow
	 */
	private String addPage(StorePage page, Map<String, FeedEntry<T>> entries) throws FeedException {
		int sizeBefore = entries.size();
		List<FeedEntry<T>> added = entries(page);
		added.forEach((entry) -> entries.put(entry.name(), entry));
		if (page.hasMore() && entries.size() == sizeBefore) {
			throw new FeedException("list of " + this.kind + " does not go on behind " + sizeBefore + " objects", null);
		}
		return page.hasMore() ? added.getLast().name() : "";
	}

	@Override
	public FeedPage<T> watch(long revision, long waitMillis) throws FeedException {
		StorePage page = this.store.watch(this.kind, revision, waitMillis);
		return new FeedPage<>(Math.max(revision, page.revision()), entries(page));
	}

	private List<FeedEntry<T>> entries(StorePage page) {
		List<FeedEntry<T>> entries = new ArrayList<>();
		page.objects().forEach((object) -> {
			T value = object.deleted() ? null : decode(object);
			if (!object.name().isEmpty()) {
				entries.add(new FeedEntry<>(object.name(), value));
			}
		});
		return entries;
	}

	private @Nullable T decode(RawObject object) {
		try {
			JsonNode content = object.content().tree();
			if (object.name().isEmpty()) {
				throw new IllegalArgumentException("name is missing or empty");
			}
			return this.decoder.apply(content);
		}
		catch (RuntimeException ex) {
			if (this.loggedHashes.add(object.content().hash())) {
				this.log.log(Event.OBJECT_MALFORMED, "kind", this.kind, "object", abbreviate(object.name()), "error",
						abbreviate(String.valueOf(ex.getMessage())));
			}
			return null;
		}
	}

	private static String abbreviate(String text) {
		return (text.length() <= MAX_LOGGED_CHARS) ? text : text.substring(0, MAX_LOGGED_CHARS) + "...";
	}

}
