package org.jaywood.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.Feed;
import org.jaywood.feed.FeedEntry;
import org.jaywood.feed.FeedException;
import org.jaywood.feed.FeedPage;

/**
 * Objects of one kind of the platform's store. An object that cannot be decoded has no
 * value, so that it stands for nothing while the others hold.
 *
 * @param <T> type of the values
 */
final class ObjectFeed<T> implements Feed<T> {

	private final MetadataStore store;

	private final String kind;

	private final Function<JsonNode, T> decoder;

	private final EventLog log;

	/**
	 * Creates a feed.
	 * @param decoder makes a value of an object; an exception means that it is malformed
	 */
	ObjectFeed(MetadataStore store, String kind, Function<JsonNode, T> decoder, EventLog log) {
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
		List<FeedEntry<T>> entries = new ArrayList<>();
		String after = "";
		long firstRevision = -1;
		boolean more = true;
		while (more) {
			JsonNode page = this.store.list(this.kind, after);
			// Changes between two pages are seen by a watch from the first page on.
			firstRevision = (firstRevision < 0) ? page.path("AsOf").asLong() : firstRevision;
			int before = entries.size();
			page.path("Items").forEach((item) -> entries.add(entry(item, false)));
			more = page.path("HasMore").asBoolean() && entries.size() > before;
			after = entries.isEmpty() ? "" : entries.getLast().name();
		}
		return new FeedPage<>(firstRevision, entries);
	}

	@Override
	public FeedPage<T> watch(long revision, long waitMillis) throws FeedException {
		JsonNode page = this.store.watch(this.kind, revision, waitMillis);
		List<FeedEntry<T>> entries = new ArrayList<>();
		page.path("events")
			.forEach((event) -> entries.add(entry(event.path("Object"), event.path("Deleted").asBoolean())));
		return new FeedPage<>(Math.max(revision, page.path("AsOf").asLong()), entries);
	}

	private FeedEntry<T> entry(JsonNode item, boolean deleted) {
		String name = item.path("Metadata").path("Name").asText();
		return new FeedEntry<>(name, deleted ? null : decode(name, item));
	}

	private @Nullable T decode(String name, JsonNode item) {
		try {
			return this.decoder.apply(item);
		}
		catch (RuntimeException ex) {
			this.log.log(Event.OBJECT_MALFORMED, "kind", this.kind, "object", name, "error", ex.getMessage());
			return null;
		}
	}

}
