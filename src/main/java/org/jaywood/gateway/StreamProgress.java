package org.jaywood.gateway;

import java.util.Locale;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

import org.jaywood.http.StreamedResponse;

/**
 * How much of a stream the caller has received, over all upstreams that ran a part of it.
 * Confined to the task of the call.
 */
final class StreamProgress {

	private static final String EVENT_STREAM = "text/event-stream";

	private @Nullable String mediaType;

	private @Nullable String lastEventId;

	/**
	 * Records the head that is forwarded to the caller.
	 */
	void onHeadForwarded(ClassicHttpResponse head) {
		this.mediaType = mediaType(head);
	}

	/**
	 * Records the id of the last event that is forwarded to the caller.
	 */
	void onEventsForwarded(@Nullable String id) {
		this.lastEventId = id;
	}

	/**
	 * Returns the id of the last event that the caller has received, or null if none had
	 * an id.
	 */
	@Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Whether a response has the media type that was forwarded to the caller.
	 */
	boolean hasSameMediaType(ClassicHttpResponse head) {
		return mediaType(head).equals(this.mediaType);
	}

	/**
	 * Whether a response says that its body consists of events.
	 */
	static boolean hasEvents(StreamedResponse response) {
		return mediaType(response.head()).equals(EVENT_STREAM);
	}

	private static String mediaType(ClassicHttpResponse head) {
		Header type = head.getFirstHeader(HttpHeaders.CONTENT_TYPE);
		String value = (type != null) ? String.valueOf(type.getValue()) : "";
		return value.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
	}

}
