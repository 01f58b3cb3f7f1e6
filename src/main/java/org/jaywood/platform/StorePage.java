package org.jaywood.platform;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.wire.BadInputException;
import org.jaywood.wire.RawJson;

/**
 * Response of the store to a list or a watch. Its objects are delimited without being
 * parsed, so that an unreadable object does not affect the others.
 *
 * @param era era of the store, 0 if it does not state one
 * @param revision revision of the store, 0 or more
 * @param hasMore whether the list continues after the last object
 * @param objects the objects, or their changes in order
 * @param sizeBytes size of the response
 */
record StorePage(long era, long revision, boolean hasMore, List<RawObject> objects, int sizeBytes) {

	/**
	 * Reads a response.
	 * @param era era that its headers state
	 * @throws BadInputException if it is no page or has no valid revision
	 */
	static StorePage read(long era, byte[] body) {
		RawJson page = RawJson.of(body);
		List<RawObject> objects = Stream
			.concat(elements(page, "Items").map(RawObject::fromItem),
					elements(page, "events").map(RawObject::fromEvent))
			.toList();
		return new StorePage(era, revision(page), isTrue(page.member("HasMore")), objects, body.length);
	}

	private static Stream<RawJson> elements(RawJson page, String field) {
		return page.member(field).filter((list) -> !list.isNull()).stream().flatMap((list) -> list.elements().stream());
	}

	private static long revision(RawJson page) {
		return page.member("AsOf")
			.map(RawJson::tree)
			.filter((node) -> node.isIntegralNumber() && node.canConvertToLong() && node.asLong() >= 0)
			.map(JsonNode::asLong)
			.orElseThrow(() -> new BadInputException(400, "no page: AsOf is missing or no revision"));
	}

	private static boolean isTrue(Optional<RawJson> value) {
		return value.map(RawJson::tree).filter(JsonNode::asBoolean).isPresent();
	}

	/**
	 * Unparsed object as the store sent it.
	 *
	 * @param name its name, or empty if that is missing or unreadable
	 * @param content the object, not parsed yet
	 * @param deleted whether it was deleted
	 */
	record RawObject(String name, RawJson content, boolean deleted) {

		private static RawObject fromItem(RawJson item) {
			return new RawObject(nameOf(item), item, false);
		}

		private static RawObject fromEvent(RawJson event) {
			RawJson object = event.member("Object").orElse(event);
			return new RawObject(nameOf(object), object, isDeletion(event));
		}

		private static boolean isDeletion(RawJson event) {
			try {
				return isTrue(event.member("Deleted"));
			}
			catch (BadInputException ex) {
				// If it is unknown whether the object exists, it has no value.
				return true;
			}
		}

		private static String nameOf(RawJson object) {
			try {
				return object.member("Metadata")
					.flatMap((metadata) -> metadata.member("Name"))
					.map(RawJson::tree)
					.filter(JsonNode::isTextual)
					.map(JsonNode::asText)
					.orElse("");
			}
			catch (BadInputException ex) {
				// The object is logged as malformed when it is decoded.
				return "";
			}
		}

	}

}
