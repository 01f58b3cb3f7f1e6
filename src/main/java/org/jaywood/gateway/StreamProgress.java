package org.jaywood.gateway;

import java.util.Locale;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * How far the stream of a caller has come, over all upstreams that ran a part of it. Used
 * by the task of the call.
 */
final class StreamProgress {

	private @Nullable String mediaType;

	private @Nullable String lastEventId;

	/**
	 * Notes the head that the caller has got.
	 */
	void onHeadForwarded(ClassicHttpResponse head) {
		this.mediaType = mediaType(head);
	}

	/**
	 * Notes the id of the last event that the caller has got.
	 */
	void onEventsForwarded(@Nullable String id) {
		this.lastEventId = id;
	}

	/**
	 * Id of the last event that the caller has, or null if it has none with an id.
	 */
	@Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Whether an answer is of the type that the caller was told.
	 */
	boolean hasSameMediaType(ClassicHttpResponse head) {
		return mediaType(head).equals(this.mediaType);
	}

	private static String mediaType(ClassicHttpResponse head) {
		Header type = head.getFirstHeader(HttpHeaders.CONTENT_TYPE);
		String value = (type != null) ? String.valueOf(type.getValue()) : "";
		return value.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
	}

}
