package org.jaywood.store;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.store.PlatformException.Kind;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * HTTP adapter of the object API and the list of VMs. Requests are not retried here: a
 * write without a response may have taken effect, which only its author can determine.
 */
public final class HttpPlatform implements ObjectStore, VmDirectory {

	private static final int MAX_PAGE_BYTES = 16 * 1024 * 1024;

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);

	private final WireClient client;

	private final Address address;

	public HttpPlatform(WireClient client, Address address) {
		this.client = client;
		this.address = address;
	}

	@Override
	public CompletableFuture<StoredObject> get(String kind, String name) {
		return Futures.run(() -> {
			HttpResponse<byte[]> response = send(request(path(kind, name), REQUEST_TIMEOUT).GET().build());
			return new StoredObject(name, version(response), response.body(), false);
		});
	}

	@Override
	public CompletableFuture<Long> create(String kind, String name, byte[] value) {
		return Futures.run(() -> version(send(request(path(kind, name), REQUEST_TIMEOUT).setHeader("If-None-Match", "*")
			.PUT(BodyPublishers.ofByteArray(value))
			.build())));
	}

	@Override
	public CompletableFuture<Long> update(String kind, String name, byte[] value, long expectedVersion) {
		return Futures.run(() -> version(
				send(request(path(kind, name), REQUEST_TIMEOUT).setHeader("If-Match", quoted(expectedVersion))
					.PUT(BodyPublishers.ofByteArray(value))
					.build())));
	}

	@Override
	public CompletableFuture<Void> delete(String kind, String name, long expectedVersion) {
		return Futures
			.run(() -> send(request(path(kind, name), REQUEST_TIMEOUT).setHeader("If-Match", quoted(expectedVersion))
				.DELETE()
				.build()))
			.thenAccept((response) -> {
			});
	}

	@Override
	public CompletableFuture<ObjectPage> watch(String kind, long afterVersion, long waitMillis) {
		return Futures.run(() -> {
			String target = "/objects/" + kind + "?after=" + afterVersion + "&waitMillis=" + waitMillis;
			HttpResponse<byte[]> response = send(request(target, REQUEST_TIMEOUT.plusMillis(waitMillis)).GET().build());
			return page(response.body());
		});
	}

	@Override
	public CompletableFuture<VmPage> awaitChanges(long afterVersion, long waitMillis) {
		return Futures.run(() -> {
			String target = "/vms?after=" + afterVersion + "&waitMillis=" + waitMillis;
			HttpResponse<byte[]> response = send(request(target, REQUEST_TIMEOUT.plusMillis(waitMillis)).GET().build());
			return Json.read(response.body(), VmPage.class);
		});
	}

	private static ObjectPage page(byte[] body) {
		JsonNode root = Json.tree(body);
		List<StoredObject> objects = root.path("objects")
			.valueStream()
			.map((node) -> new StoredObject(node.path("name").asText(), node.path("version").asLong(),
					Json.bytes(node.path("value")), node.path("deleted").asBoolean()))
			.toList();
		return new ObjectPage(root.path("version").asLong(), objects);
	}

	private HttpRequest.Builder request(String target, Duration timeout) {
		return this.client.request(URI.create("http://" + this.address + target), timeout);
	}

	private HttpResponse<byte[]> send(HttpRequest request) throws InterruptedException {
		HttpResponse<byte[]> response;
		try {
			response = this.client.send(request, MAX_PAGE_BYTES);
		}
		catch (IOException ex) {
			throw new PlatformException(Kind.NO_ANSWER,
					"no response from the platform to " + request.method() + " " + request.uri().getPath() + ": " + ex,
					ex);
		}
		int status = response.statusCode();
		if (status / 100 == 2) {
			return response;
		}
		Kind kind = switch (status) {
			case 404 -> Kind.NOT_FOUND;
			case 409, 412 -> Kind.CONFLICT;
			case 429, 503 -> Kind.REFUSED;
			default -> Kind.NO_ANSWER;
		};
		throw new PlatformException(kind,
				"platform responded with status " + status + " to " + request.uri().getPath());
	}

	private static String path(String kind, String name) {
		return "/objects/" + kind + "/" + name;
	}

	private static String quoted(long version) {
		return "\"" + version + "\"";
	}

	private static long version(HttpResponse<?> response) {
		return response.headers()
			.firstValue("ETag")
			.map((etag) -> Long.parseLong(etag.replace("\"", "")))
			.orElseThrow(() -> new PlatformException(Kind.NO_ANSWER, "platform response has no ETag"));
	}

}
