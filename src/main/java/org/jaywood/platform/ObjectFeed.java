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
 * Feed of the objects of one kind in the platform's store. An object that cannot be
 * parsed or decoded has no value, which does not affect the other objects; one without a
 * name is omitted. Used by one thread.
 *
 * @param <T> type of the values
 */
final class ObjectFeed<T> implements Feed<T> {

	/** Malformed objects whose hashes are remembered, so that each is logged once. */
	private static final int MAX_REMEMBERED_HASHES = 1_000;

	/** Length to which a name or an error is abbreviated in the log. */
	private static final int MAX_LOGGED_CHARS = 200;

	/** Largest list, all its pages together. */
	private static final long MAX_LIST_BYTES = 16 * 1024 * 1024;

	private final MetadataStoreClient store;

	private final String kind;

	private final Function<JsonNode, T> decoder;

	private final EventLog log;

	/** Hashes of the malformed objects that were logged last. */
	private final Set<Long> loggedHashes = Collections.newSetFromMap(new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > MAX_REMEMBERED_HASHES;
		}

	});

	/**
	 * Creates a feed.
	 * @param decoder decodes an object into a value; throws an exception if the object is
	 * malformed
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
		// The watch starts at the revision of the first page, so that it reports changes
		// between two pages.
		long firstRevision = page.revision();
		long firstEra = page.era();
		String after = addPage(page, entries);
		long listBytes = page.sizeBytes();
		while (page.hasMore()) {
			page = this.store.list(this.kind, after);
			if (page.era() != firstEra) {
				// Pages of two eras are no list: the store was restored between them.
				throw new FeedException("list of " + this.kind + " spans the eras " + firstEra + " and " + page.era(),
						null);
			}
			listBytes += page.sizeBytes();
			if (listBytes > MAX_LIST_BYTES) {
				throw new FeedException("list of " + this.kind + " exceeds " + MAX_LIST_BYTES + " bytes", null);
			}
			after = addPage(page, entries);
		}
		return new FeedPage<>(firstEra, firstRevision, List.copyOf(entries.values()));
	}

	/**
	 * Adds the objects of a page.
	 * @return name after which the next page starts, or empty after the last page
	 * @throws FeedException if the page adds no object although more pages follow
	 */
	private String addPage(StorePage page, Map<String, FeedEntry<T>> entries) throws FeedException {
		int sizeBefore = entries.size();
		List<FeedEntry<T>> added = entries(page);
		added.forEach((entry) -> entries.put(entry.name(), entry));
		if (page.hasMore() && entries.size() == sizeBefore) {
			throw new FeedException("list of " + this.kind + " makes no progress after " + sizeBefore + " objects",
					null);
		}
		return page.hasMore() ? added.getLast().name() : "";
	}

	@Override
	public FeedPage<T> watch(long revision, long waitMillis) throws FeedException {
		StorePage page = this.store.watch(this.kind, revision, waitMillis);
		return new FeedPage<>(page.era(), Math.max(revision, page.revision()), entries(page));
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
