package review;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in of clients that send streaming requests at a steady rate, and repeat a request
 * once after a status that says that it has not run.
 */
final class Client implements AutoCloseable {

	private static final long TIMEOUT_MILLIS = 6_000;

	private final List<String> gateways;

	private final String host;

	private final String key;

	private final Trace trace;

	private final double intervalSeconds;

	private final HttpClient http = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(1))
		.build();

	private final List<Result> results = new CopyOnWriteArrayList<>();

	private volatile boolean closed;

	Client(List<String> gateways, String host, String key, double intervalSeconds, Trace trace) {
		this.gateways = gateways;
		this.host = host;
		this.key = key;
		this.intervalSeconds = intervalSeconds;
		this.trace = trace;
	}

	void start() {
		Thread.ofVirtual().start(() -> {
			for (int number = 0; !this.closed; number++) {
				int request = number;
				Thread.ofVirtual().start(() -> request(request));
				Pause.seconds(this.intervalSeconds);
			}
		});
	}

	/**
	 * Returns how many of the requests sent in a span of time were served, in percent, or
	 * -1 if none was sent.
	 */
	long servedPercent(double fromSeconds, double toSeconds) {
		List<Result> sent = this.results.stream()
			.filter((result) -> result.sentSeconds() >= fromSeconds && result.sentSeconds() < toSeconds)
			.toList();
		return sent.isEmpty() ? -1 : sent.stream().filter(Result::served).count() * 100 / sent.size();
	}

	long served() {
		return this.results.stream().filter(Result::served).count();
	}

	private void request(int number) {
		double sentSeconds = this.trace.nowSeconds();
		boolean served = attempt(number, 1);
		if (!served && !this.closed) {
			Pause.seconds(1);
			served = attempt(number, 2);
		}
		this.results.add(new Result(sentSeconds, served));
	}

	private boolean attempt(int number, int attempt) {
		String gateway = this.gateways.get((number + attempt) % this.gateways.size());
		String id = String.format("%08x%02x", number, attempt);
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + gateway + "/drafts/a"))
			.timeout(Duration.ofMillis(TIMEOUT_MILLIS))
			.header("Host", this.host)
			.header("X-Attempt-Id", id)
			.header("X-Deadline-Ms", Long.toString(TIMEOUT_MILLIS))
			.header("X-Model", Weights.MODEL)
			.header("X-Token-Usage", "120,30")
			.header("X-Prompt-Prefix", String.format("a1:40,%08x:80", number + 1_000))
			.header("Authorization", "Bearer " + this.key)
			.POST(HttpRequest.BodyPublishers.ofString("prompt"))
			.build();
		try {
			HttpResponse<String> response = this.http.send(request, HttpResponse.BodyHandlers.ofString());
			boolean complete = response.body().contains("id: 5\n")
					&& response.headers().firstValue("X-Response-Seal").isPresent();
			this.trace.log("client: %s at %s is answered %d%s", id, gateway, response.statusCode(),
					complete ? ", complete" : ", " + response.body().strip());
			return response.statusCode() == 200 && complete;
		}
		catch (IOException ex) {
			this.trace.log("client: %s at %s fails: %s", id, gateway, ex);
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.http.shutdownNow();
	}

	private record Result(double sentSeconds, boolean served) {
	}

}
