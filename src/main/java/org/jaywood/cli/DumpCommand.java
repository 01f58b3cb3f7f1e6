package org.jaywood.cli;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;
import org.jaywood.wire.WireClient;

/**
 * Command that prints the whole state of a process.
 */
@Parameters(commandDescription = "Prints the state of the process at an operator port as JSON")
final class DumpCommand implements Command {

	@Parameter(description = "ADDRESS", required = true, converter = Converters.AddressConverter.class)
	private List<Address> addresses = new ArrayList<>();

	@Parameter(names = "--credential", validateWith = Converters.CredentialValidator.class,
			description = "Credential of the process")
	private @Nullable String credential;

	@Parameter(names = "--metrics", description = "Prints the metrics instead of the state")
	private boolean metrics;

	@Override
	public String name() {
		return "dump";
	}

	@Override
	public int run() throws Exception {
		WireClient client = new WireClient(null, Credential.parse(this.credential), Map::of, (response) -> {
		});
		HttpResponse<byte[]> response = client.get(this.addresses.getFirst().uri(this.metrics ? "/metrics" : "/state"),
				Duration.ofSeconds(5));
		System.out.println(new String(response.body(), StandardCharsets.UTF_8));
		return (response.statusCode() == 200) ? 0 : 1;
	}

}
