package org.jaywood.platform;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.wire.BadInputException;
import org.jaywood.wire.RawJson;

/**
 * Answer of the store to a list or a watch. Its objects are found without being read, so
 * that one which cannot be read costs only itself.
 *
 * @param revision revision of the store, 0 or more
 * @param hasMore whether the list goes on behind the last object
 * @param objects the objects, or their changes in order
 */
record StorePage(long revision, boolean hasMore, List<RawObject> objects) {

	/**
	 * Reads an answer.
	 * @throws BadInputException if it states no revision or is no page
	 */
	static StorePage read(byte[] body) {
		RawJson page = RawJson.of(body);
		List<RawObject> objects = Stream
			.concat(elements(page, "Items").map(RawObject::fromItem),
					elements(page, "events").map(RawObject::fromEvent))
			.toList();
		return new StorePage(revision(page), isTrue(page.member("HasMore")), objects);
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
	 * An object as the store sent it.
	 *
	 * @param name its name, or empty if that is missing or cannot be read
	 * @param content the object, not read yet
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
				// An object of which it is not known whether it is there has no value.
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
				// The object is reported as malformed when it is read.
				return "";
			}
		}

	}

}
