package org.jaywood.bench;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.jaywood.bench.Installation.Member;
import org.jaywood.wire.Digests;

/**
 * Starts a whole installation on this machine, applies a deployment, spreads a model
 * version and sends requests.
 */
public final class Demo implements Experiment {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int REQUESTS = 50;

	private static final long MODEL_BYTES = 4 * 1024 * 1024;

	private static final int CHUNK_BYTES = 32 * 1024;

	@Override
	public String name() {
		return "demo";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		Profile profile = options.profile();
		try (Installation installation = Installation.start(profile, 2)) {
			String manifest = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
			installation.apply(installation.deployment("1", manifest));
			installation.awaitServing(Digests.ofSet(List.of(manifest)), 20_000);
			installation.awaitGeneration(1, 10_000);
			int answered = requests(installation, profile.services().getFirst().name());
			System.out.println("requests " + REQUESTS + " answered " + answered);
			return (answered == REQUESTS) ? 0 : 1;
		}
	}

	private static int requests(Installation installation, String service) throws IOException, InterruptedException {
		int answered = 0;
		List<Member> routers = installation.routers();
		for (int i = 0; i < REQUESTS; i++) {
			HttpResponse<byte[]> reply = installation.client()
				.post(routers.get(i % routers.size()).caller().uri("/v1/completions"),
						Map.of("model", service, "prompt", "prompt " + i, "max_tokens", 8), TIMEOUT);
			answered += (reply.statusCode() == 200) ? 1 : 0;
		}
		return answered;
	}

}
