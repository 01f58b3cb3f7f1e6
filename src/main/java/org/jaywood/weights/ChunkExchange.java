package org.jaywood.weights;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.store.VmRecord;
import org.jaywood.weights.ChunkClient.Fetched;
import org.jaywood.weights.WantedChunks.ChunkFetch;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.WireClient;

/**
 * Brings the wanted weights into the staging area, from peers where possible, and passes
 * them on. Everything it stores is verified; a failing peer costs only time.
 */
public final class ChunkExchange implements AutoCloseable {

	/** Few downloads at once, so that each chunk arrives early and can be passed on. */
	private static final int DOWNLOADS = 4;

	/** A chunk whose time to retry has come is noticed after at most this time. */
	private static final long WAIT_MILLIS = 100;

	/**
	 * Without missing chunks only a notification ends the wait: idle agents cost nothing.
	 */
	private static final long IDLE_MILLIS = 2_000;

	private static final long PREPARE_MILLIS = 20;

	private static final long STORE_FAILURE_MILLIS = 500;

	private static final int OFFER_LIMIT_BYTES = 256 * 1024;

	private final StagingArea staging;

	private final Swarm swarm;

	private final WantedChunks wanted;

	private final ChunkServer server;

	private final OfferSender offers;

	private final ManifestFetcher manifests;

	private final HolderDiscovery survey;

	private final ChunkClient chunkClient = new ChunkClient();

	private final WireClient peerClient;

	private final WireClient storeClient;

	private final Address store;

	private final EventLog log;

	private final AtomicLongArray fetchedBytes = new AtomicLongArray(Distance.values().length);

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	private volatile Target target = new Target(List.of(), 0);

	private Set<String> previous = Set.of();

	private Target listed = this.target;

	private boolean listedComplete = true;

	private volatile long progressNanos = System.nanoTime();

	private volatile @Nullable String failure;

	/**
	 * Creates an exchange that is idle until {@link #start}.
	 * @param settings settings
	 * @param members the VMs that want a manifest, or any for the empty digest
	 * @param peerClient client of the peer ports
	 * @param storeClient client of the weight store
	 * @param log log
	 */
	public ChunkExchange(WeightSettings settings, Function<String, List<VmRecord>> members, WireClient peerClient,
			WireClient storeClient, EventLog log) {
		this.staging = new StagingArea(settings.stagingBytes());
		this.swarm = new Swarm(settings, members);
		this.wanted = new WantedChunks(settings.self(), settings.mode(), System.nanoTime());
		this.server = new ChunkServer(settings, this.staging, this.swarm);
		this.peerClient = peerClient;
		this.storeClient = storeClient;
		this.store = settings.storeAddress();
		this.log = log;
		this.offers = new OfferSender(this.swarm, peerClient, this.tasks);
		this.manifests = new ManifestFetcher(this.swarm, this.chunkClient, peerClient, storeClient, this.store);
		this.survey = new HolderDiscovery(this.swarm, this.wanted, this.staging, this.chunkClient, peerClient);
	}

	/**
	 * Adds the routes for peers, and those for the engine of this VM to a port of its
	 * own.
	 */
	public void register(HttpPort peerPort, HttpPort enginePort, String engineHost) {
		this.server.register(peerPort);
		this.server.registerForEngine(enginePort, engineHost);
		peerPort.route("POST", "/v1/chunks/offers", this::takeOffer);
	}

	public void start() {
		this.tasks.execute(() -> loop("fetch manifests", this::prepare));
		this.tasks.execute(() -> loop("send offers", this.offers::run));
		IntStream.range(0, DOWNLOADS).forEach((slot) -> this.tasks.execute(() -> loop("fetch chunks", this::download)));
	}

	/**
	 * Sets the wanted manifests. What is neither wanted nor in use nor of the set wanted
	 * before is dropped, also in mid-flight.
	 * @param digests wanted manifests
	 * @param inUse manifests that the engine serves
	 */
	public synchronized void want(List<String> digests, Collection<String> inUse) {
		if (this.target.digests().equals(digests)) {
			return;
		}
		this.previous = Stream.concat(this.target.digests().stream(), inUse.stream())
			.collect(Collectors.toCollection(LinkedHashSet::new));
		this.target = new Target(List.copyOf(digests), System.nanoTime());
		this.wanted.clear();
		this.staging.retain(Stream.concat(digests.stream(), this.previous.stream()).toList());
		this.failure = null;
		notifyAll();
	}

	public boolean complete(List<String> digests) {
		return this.staging.complete(digests);
	}

	/**
	 * Progress for the state dump.
	 */
	public ExchangeState state() {
		List<Manifest> known = this.target.digests()
			.stream()
			.flatMap((digest) -> this.staging.manifest(digest).stream())
			.toList();
		List<String> chunks = known.stream().flatMap((manifest) -> manifest.chunks().stream()).distinct().toList();
		Map<String, Long> bytes = Arrays.stream(Distance.values())
			.collect(Collectors.toMap(Distance::name, (source) -> this.fetchedBytes.get(source.ordinal())));
		return new ExchangeState((int) chunks.stream().filter(this.staging::holds).count(), chunks.size(),
				this.staging.usedBytes(), this.staging.limitBytes(), bytes, this.failure);
	}

	private void prepare() throws InterruptedException {
		Target current = this.target;
		for (String digest : current.digests()) {
			if (this.target == current && this.staging.manifest(digest).isEmpty()) {
				this.manifests.fetch(digest, current.sinceNanos())
					.ifPresent((content) -> install(current, digest, content));
			}
		}
		if (this.listed != current || !this.listedComplete) {
			this.listedComplete = addMissing(current);
			this.listed = current;
		}
		this.survey.run(this.progressNanos, System.nanoTime());
		awaitWork(current);
	}

	private synchronized void awaitWork(Target current) throws InterruptedException {
		boolean idle = this.target == current && this.listed == current && this.listedComplete && this.wanted.isEmpty();
		TimeUnit.MILLISECONDS.timedWait(this, idle ? IDLE_MILLIS : PREPARE_MILLIS);
	}

	private synchronized void install(Target current, String digest, byte[] content) {
		if (this.target == current) {
			this.staging.putManifest(digest, content);
			this.progressNanos = System.nanoTime();
		}
	}

	/**
	 * Adds the missing chunks of the manifests known so far.
	 * @return whether all manifests are known
	 */
	private synchronized boolean addMissing(Target current) {
		if (this.target != current) {
			return false;
		}
		if (this.staging.bytesOf(current.digests()) > this.staging.limitBytes()) {
			this.failure = "weights exceed the staging area of " + this.staging.limitBytes() + " bytes";
			return false;
		}
		if (this.staging.bytesOf(Stream.concat(current.digests().stream(), this.previous.stream())
			.toList()) > this.staging.limitBytes()) {
			// Wanted weights take precedence over those kept for a rollback.
			this.staging.retain(current.digests());
		}
		current.digests()
			.forEach((digest) -> this.staging.manifest(digest)
				.ifPresent((manifest) -> IntStream.range(0, manifest.chunks().size())
					.filter((index) -> !this.staging.holds(manifest.chunks().get(index)))
					.forEach((index) -> this.wanted.add(digest, manifest, index, System.nanoTime()))));
		return current.digests().stream().allMatch((digest) -> this.staging.manifest(digest).isPresent());
	}

	private void takeOffer(Exchange exchange) throws IOException {
		ChunkOffer offer = exchange.json(ChunkOffer.class, OFFER_LIMIT_BYTES);
		this.swarm.find(offer.manifest(), offer.holder())
			.filter((holder) -> !this.swarm.suspected(holder.address(), System.nanoTime()))
			.ifPresent((holder) -> this.survey.note(offer, holder));
		exchange.respondJson(200, Map.of());
	}

	private void download() throws InterruptedException {
		ChunkFetch download = this.wanted.take(this.wanted.isEmpty() ? IDLE_MILLIS : WAIT_MILLIS).orElse(null);
		if (download == null) {
			return;
		}
		VmRecord source = download.source();
		try {
			Fetched fetched = (source != null)
					? this.chunkClient.get(this.peerClient, source.address().uri("/v1/chunks/" + download.chunk()),
							download.bytes(), ChunkClient.PEER_HEADERS)
					: this.chunkClient.get(this.storeClient, this.store.uri("/chunks/" + download.chunk()),
							download.bytes(), ChunkClient.STORE_HEADERS);
			accept(download, fetched);
		}
		catch (IOException ex) {
			this.log.log(Event.CHUNK_FETCH_FAILED, "chunk", download.chunk(), "source", nameOf(source), "error", ex);
			fail(download);
		}
		catch (WeightException ex) {
			this.failure = ex.getMessage();
			this.wanted.retry(download, System.nanoTime() + STORE_FAILURE_MILLIS * 1_000_000);
		}
	}

	private void accept(ChunkFetch download, Fetched fetched) {
		if (fetched.refused()) {
			this.wanted.retry(download, System.nanoTime() + fetched.retryAfterMillis() * 1_000_000);
			return;
		}
		if (fetched.status() == 404 && download.source() != null) {
			this.wanted.failed(download);
			return;
		}
		this.fetchedBytes.addAndGet(Distance.between(this.swarm.self(), download.source()).ordinal(),
				fetched.body().length);
		if (fetched.status() != 200 || !store(download, fetched.body())) {
			this.log.log(Event.CHUNK_CORRUPT, "chunk", download.chunk(), "source", nameOf(download.source()));
			fail(download);
		}
	}

	/**
	 * Stores a chunk unless its manifest is no longer wanted.
	 * @return whether the content is correct
	 */
	private synchronized boolean store(ChunkFetch download, byte[] content) {
		if (!this.target.digests().contains(download.manifest())) {
			return true;
		}
		if (!this.staging.putChunk(download.chunk(), content)) {
			return false;
		}
		this.wanted.done(download.chunk());
		this.progressNanos = System.nanoTime();
		this.staging.manifest(download.manifest())
			.ifPresent((manifest) -> this.offers.verified(download.manifest(), download.chunk(),
					manifest.chunks().indexOf(download.chunk())));
		if (this.staging.complete(this.target.digests())) {
			this.log.log(Event.WEIGHTS_VERIFIED, "manifest", download.manifest(), "chunks", state().chunksWanted(),
					"seconds", (System.nanoTime() - this.target.sinceNanos()) / 1e9);
		}
		return true;
	}

	private void fail(ChunkFetch download) {
		VmRecord source = download.source();
		if (source == null) {
			this.wanted.retry(download, System.nanoTime() + STORE_FAILURE_MILLIS * 1_000_000);
			return;
		}
		this.swarm.suspect(source.address(), System.nanoTime());
		this.wanted.failed(download);
		this.wanted.forget(source);
	}

	private static String nameOf(@Nullable VmRecord source) {
		return (source != null) ? source.vm() : "store";
	}

	private void loop(String name, Task task) {
		while (!this.tasks.isShutdown()) {
			try {
				task.run();
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				this.log.log(Event.TASK_FAILED, "task", name, "error", ex);
			}
		}
	}

	@Override
	public void close() {
		this.tasks.shutdownNow();
		this.chunkClient.close();
	}

	private record Target(List<String> digests, long sinceNanos) {
	}

	@FunctionalInterface
	private interface Task {

		void run() throws InterruptedException;

	}

}
