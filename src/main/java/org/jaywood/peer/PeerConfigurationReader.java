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
 * Reads configuration and list of VMs from peers for an operator. This works while the
 * platform is down, and finds a newer configuration than a platform that was restored
 * with an older one.
 */
public final class PeerConfigurationReader {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

	private final WireClient client;

	public PeerConfigurationReader(WireClient client) {
		this.client = client;
	}

	/**
	 * Returns the configuration with the highest generation among the peers that respond.
	 */
	public Optional<AppliedConfiguration> highestConfiguration(List<Address> peers) {
		return peers.stream()
			.map((peer) -> Futures.run(() -> get(peer, "/v1/configuration", AppliedConfiguration.class)))
			.toList()
			.stream()
			.flatMap((future) -> future.join().stream())
			.max((first, second) -> Long.compare(first.generation(), second.generation()));
	}

	/**
	 * Returns the list of VMs of the first peer that responds.
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
