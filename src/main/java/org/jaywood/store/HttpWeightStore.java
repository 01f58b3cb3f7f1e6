package org.jaywood.store;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.jaywood.store.PlatformException.Kind;
import org.jaywood.wire.Address;
import org.jaywood.wire.WireClient;

/**
 * HTTP adapter of the weight store.
 */
public final class HttpWeightStore implements WeightStore {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

	private final WireClient client;

	private final Address address;

	public HttpWeightStore(WireClient client, Address address) {
		this.client = client;
		this.address = address;
	}

	@Override
	public CompletableFuture<byte[]> manifest(String digest) {
		return fetch("/manifests/" + digest);
	}

	@Override
	public CompletableFuture<byte[]> chunk(String digest) {
		return fetch("/chunks/" + digest);
	}

	private CompletableFuture<byte[]> fetch(String path) {
		return Futures.run(() -> {
			try {
				HttpResponse<byte[]> response = this.client.get(this.address.uri(path), REQUEST_TIMEOUT);
				return switch (response.statusCode()) {
					case 200 -> response.body();
					case 404 -> throw new PlatformException(Kind.NOT_FOUND, "weight store has no object " + path);
					default -> throw new PlatformException(Kind.REFUSED,
							"weight store responded with status " + response.statusCode() + " to " + path);
				};
			}
			catch (IOException ex) {
				throw new PlatformException(Kind.NO_ANSWER, "no response from the weight store to " + path + ": " + ex,
						ex);
			}
		});
	}

}
