package org.jaywood.peer;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.store.Futures;
import org.jaywood.store.VmPage;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;
import org.jaywood.wire.WireException;

/**
 * Asks peers for what they hold, on behalf of an operator. The platform may be down or
 * may have come back with an older configuration.
 */
public final class PeerConfigurationReader {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

	private final WireClient client;

	public PeerConfigurationReader(WireClient client) {
		this.client = client;
	}

	/**
	 * Highest configuration among the peers that answer.
	 */
	public Optional<AppliedConfiguration> configuration(List<Address> peers) {
		return peers.stream()
			.map((peer) -> Futures.run(() -> get(peer, "/v1/configuration", AppliedConfiguration.class)))
			.toList()
			.stream()
			.flatMap((future) -> future.join().stream())
			.max((first, second) -> Long.compare(first.generation(), second.generation()));
	}

	/**
	 * List of VMs of the first peer that answers.
	 */
	public Optional<VmPage> vms(List<Address> peers) {
		return peers.stream().flatMap((peer) -> get(peer, "/v1/vms", VmPage.class).stream()).findFirst();
	}

	private <T> Optional<T> get(Address peer, String path, Class<T> type) {
		try {
			HttpResponse<byte[]> response = this.client.get(peer.uri(path), READ_TIMEOUT);
			return (response.statusCode() == 200) ? Optional.of(Json.read(response.body(), type)) : Optional.empty();
		}
		catch (IOException | WireException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
	}

}
