import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Clients that each send a request, wait for its answer and send the next one in time. */
final class Traffic {

	/**
	 * One request of a client.
	 *
	 * @param sentMillis time at which it was sent
	 * @param endedMillis time of its answer, or at which the client gave up
	 */
	record Sent(String attempt, int client, String host, long sentMillis, long endedMillis, Client.Answer answer,
			boolean kept) {
	}

	static final long DEADLINE_MILLIS = 6_046;

	private final Entry entry;

	private final Record record;

	private final long intervalMillis;

	private final List<Sent> sent = new ArrayList<>();

	private final List<Thread> threads = new ArrayList<>();

	private volatile boolean ended;

	Traffic(Entry entry, Record record, long intervalMillis) {
		this.entry = entry;
		this.record = record;
		this.intervalMillis = intervalMillis;
	}

	void start(int clients) {
		for (int client = 0; client < clients; client++) {
			int number = client;
			this.threads.add(Thread.ofPlatform().daemon().start(() -> run(number)));
		}
	}

	private void run(int number) {
		Engine.sleep(ThreadLocalRandom.current().nextLong(this.intervalMillis));
		Client client = null;
		String host = "";
		while (!this.ended) {
			long nextNanos = System.nanoTime() + this.intervalMillis * 1_000_000;
			long leftMillis = DEADLINE_MILLIS;
			for (int attempt = 0; attempt < 2; attempt++) {
				boolean kept = client != null;
				if (client == null) {
					host = this.entry.hostFor(number);
					client = new Client(host, Fleet.FRONT_PORT);
				}
				Sent result = send(client, number, host, leftMillis, kept);
				boolean closed = !result.answer().complete()
						|| "close".equalsIgnoreCase(result.answer().headers().get("connection"));
				boolean promised = result.answer().complete() && result.answer().status() == 503;
				if (closed || promised) {
					client.close();
					client = null;
				}
				leftMillis -= result.endedMillis() - result.sentMillis();
				long backMillis = backMillis(result.answer());
				if (this.ended || !promised || attempt == 1 || backMillis > leftMillis / 3) {
					break;
				}
				Engine.sleep(backMillis);
				leftMillis -= backMillis;
			}
			Engine.sleep((nextNanos - System.nanoTime()) / 1_000_000);
		}
		if (client != null) {
			client.close();
		}
	}

	private static long backMillis(Client.Answer answer) {
		return Math.round(1_000 * Double.parseDouble(answer.headers().getOrDefault("retry-after", "0")));
	}

	private Sent send(Client client, int number, String host, long leftMillis, boolean kept) {
		String attempt = "%016x".formatted(ThreadLocalRandom.current().nextLong());
		byte[] body = new byte[320];
		long sentMillis = this.record.millis();
		Client.Answer answer = client.send(Site.head(attempt, leftMillis, body.length), body, leftMillis);
		Sent result = new Sent(attempt, number, host, sentMillis, this.record.millis(), answer, kept);
		synchronized (this.sent) {
			this.sent.add(result);
		}
		this.record.line("client %d: %s sent at %d to %s: %s", number, attempt, sentMillis, host,
				answer.served() ? "served, " + answer.body().length + " bytes"
						: (answer.status() > 0) ? answer.status() + " " + answer.problem() + text(answer)
								: answer.problem());
		return result;
	}

	private static String text(Client.Answer answer) {
		return (answer.body().length < 100) ? new String(answer.body()) : "";
	}

	/** Returns the requests that were sent in a span and have ended. */
	List<Sent> between(long fromMillis, long toMillis) {
		synchronized (this.sent) {
			return this.sent.stream()
				.filter((each) -> each.sentMillis() >= fromMillis && each.sentMillis() < toMillis)
				.toList();
		}
	}

	/** Returns the numbers of the pieces that the body of a stream holds, in their order. */
	static List<Integer> pieces(Client.Answer answer) {
		return new String(answer.body()).lines()
			.filter((line) -> line.startsWith("data: "))
			.map((line) -> Integer.valueOf(line.split(" ")[2]))
			.toList();
	}

	static double servedShare(List<Sent> requests) {
		return requests.isEmpty() ? 0
				: requests.stream().filter((each) -> each.answer().served()).count() / (double) requests.size();
	}

	void end() throws InterruptedException {
		this.ended = true;
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
		for (Thread thread : this.threads) {
			thread.join(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
		}
	}

}
