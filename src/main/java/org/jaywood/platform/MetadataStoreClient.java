package org.jaywood.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

import org.jaywood.feed.FeedException;
import org.jaywood.feed.HistoryLostException;
import org.jaywood.http.BufferedResponse;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.ResponseLimits;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Client of the platform's store. It leaves it to the caller to repeat what failed.
 */
public final class MetadataStoreClient {

	/** Time for a response in addition to the wait that a request asks for. */
	private static final long RESPONSE_TIMEOUT_MILLIS = 900;

	/**
	 * Largest page; the store's pages have about 1 MB, and one object may be larger.
	 */
	private static final int MAX_PAGE_BYTES = 4 * 1024 * 1024;

	/** Largest response to a write. */
	private static final int MAX_WRITE_RESPONSE_BYTES = 64 * 1024;

	private static final ResponseLimits WRITE_LIMITS = new ResponseLimits(RESPONSE_TIMEOUT_MILLIS,
			MAX_WRITE_RESPONSE_BYTES);

	/**
	 * Time for the response to a request for a single object. A leader has to send two
	 * renewals before its lease ends.
	 */
	private static final long OBJECT_TIMEOUT_MILLIS = 700;

	/** Largest single object; the store takes 1 MB at most. */
	private static final int MAX_OBJECT_BYTES = 1024 * 1024 + 64 * 1024;

	private static final ResponseLimits OBJECT_LIMITS = new ResponseLimits(OBJECT_TIMEOUT_MILLIS, MAX_OBJECT_BYTES);

	/** Header with the number of restores of the store so far. */
	private static final String ERA_HEADER = "Store-Era";

	private static final Pattern ERA_FORMAT = Pattern.compile("[0-9]{1,10}");

	/** Largest era, so that an era and a counter fit into one number. */
	private static final long MAX_ERA = Integer.MAX_VALUE;

	private final Address address;

	private final ConnectionPool pool = new ConnectionPool();

	public MetadataStoreClient(Address address) {
		this.address = address;
	}

	/**
	 * Lists a page of the objects of a kind.
	 * @param kind kind of the objects
	 * @param after name after which the page starts, or empty for the first page
	 */
	StorePage list(String kind, String after) throws FeedException {
		return fetchPage("/objects/" + kind + (after.isEmpty() ? "" : "?StartAfter=" + encode(after)), 0);
	}

	/**
	 * Waits up to {@code waitMillis} for changes of the objects of a kind after a
	 * revision.
	 */
	StorePage watch(String kind, long revision, long waitMillis) throws FeedException {
		return fetchPage("/objects/" + kind + "?Watch=" + revision + "&WaitMs=" + waitMillis, waitMillis);
	}

	/**
	 * Creates an object.
	 * @return whether it was created; false if it exists
	 * @throws IOException if the store does not say; it may have created the object
	 */
	boolean create(String kind, String name, JsonNode spec) throws IOException {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/objects/" + kind);
		request.setHeader("Content-Type", "application/json");
		byte[] object = Json.bytes(Map.of("Metadata", Map.of("Name", name), "Spec", spec));
		BufferedResponse response = this.pool.exchange(this.address, request, object, WRITE_LIMITS);
		boolean created = response.ok() || response.status() == HttpStatus.SC_CREATED;
		if (!created && response.status() != HttpStatus.SC_CONFLICT) {
			throw new IOException("POST " + kind + "/" + name + ": status " + response.status());
		}
		return created;
	}

	/**
	 * Reads a single object.
	 * @param allowStale whether the result may be seconds old, which costs less
	 * @return the response, whatever its status
	 * @throws IOException if no complete response arrives
	 */
	BufferedResponse readObject(String kind, String name, boolean allowStale) throws IOException {
		String path = "/objects/" + kind + "/" + encode(name) + (allowStale ? "?AllowStale=1" : "");
		return this.pool.exchange(this.address, new BasicClassicHttpRequest("GET", path), new byte[0], OBJECT_LIMITS);
	}

	/**
	 * Creates an object.
	 * @return the response, whatever its status; 409 if the object exists
	 * @throws IOException if no complete response arrives; the store may have created the
	 * object or may do so later
	 */
	BufferedResponse createObject(String kind, String name, JsonNode spec) throws IOException {
		return write("POST", "/objects/" + kind, Map.of("Metadata", Map.of("Name", name), "Spec", spec));
	}

	/**
	 * Replaces an object if it has the given revision.
	 * @return the response, whatever its status; 409 if it has another one
	 * @throws IOException if no complete response arrives; the store may have replaced
	 * the object or may do so later
	 */
	BufferedResponse replaceObject(String kind, String name, JsonNode spec, long revision) throws IOException {
		return write("PUT", "/objects/" + kind + "/" + encode(name),
				Map.of("Metadata", Map.of("Name", name, "Revision", revision), "Spec", spec));
	}

	private BufferedResponse write(String method, String path, Object object) throws IOException {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
		request.setHeader("Content-Type", "application/json");
		return this.pool.exchange(this.address, request, Json.bytes(object), OBJECT_LIMITS);
	}

	private StorePage fetchPage(String path, long waitMillis) throws FeedException {
		try {
			return exchange(path, waitMillis);
		}
		catch (IOException | RuntimeException ex) {
			throw new FeedException("GET " + path + ": " + ex.getMessage(), ex);
		}
	}

	private StorePage exchange(String path, long waitMillis) throws IOException, FeedException {
		BufferedResponse response = this.pool.exchange(this.address, new BasicClassicHttpRequest("GET", path),
				new byte[0], new ResponseLimits(waitMillis + RESPONSE_TIMEOUT_MILLIS, MAX_PAGE_BYTES));
		if (response.status() == HttpStatus.SC_GONE) {
			throw new HistoryLostException("GET " + path + ": history has been dropped");
		}
		if (!response.ok()) {
			throw new FeedException("GET " + path + ": status " + response.status(), null);
		}
		return StorePage.read(era(response), response.body());
	}

	/**
	 * Returns the era of the store at a response. A store that does not state it has era
	 * 0.
	 * @throws IOException if the response states no valid era, so that its age is unknown
	 */
	static long era(BufferedResponse response) throws IOException {
		String value = response.header(ERA_HEADER);
		if (value == null) {
			return 0;
		}
		if (!ERA_FORMAT.matcher(value).matches() || Long.parseLong(value) > MAX_ERA) {
			throw new IOException("header " + ERA_HEADER + " is no era: " + value);
		}
		return Long.parseLong(value);
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

}
