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
import org.jaywood.event.TaskGuard;
import org.jaywood.store.VmRecord;
import org.jaywood.weights.ChunkClient.FetchResponse;
import org.jaywood.weights.MissingChunks.ChunkFetch;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.WireClient;

/**
 * Downloads the target weights into the agent staging area, from peers where possible,
 * and offers verified chunks to peers. It stores only verified content, so a faulty peer
 * delays a download but cannot corrupt it.
 */
public final class ChunkExchange implements AutoCloseable {

	/**
	 * A small number, so that each chunk arrives early and can be sent on to other VMs.
	 */
	private static final int MAX_CONCURRENT_FETCHES = 4;

	/** Longest delay until a fetch thread sees that a chunk may be fetched again. */
	private static final long RETRY_POLL_MILLIS = 100;

	/**
	 * Longest wait while no chunk is missing. Work that arrives earlier ends the wait by
	 * a notification, so that idle agents use almost no processor time.
	 */
	private static final long IDLE_WAIT_MILLIS = 2_000;

	private static final long PREPARE_INTERVAL_MILLIS = 20;

	private static final long STORE_RETRY_MILLIS = 500;

	private static final int MAX_OFFER_BYTES = 256 * 1024;

	private final StagingArea staging;

	private final Swarm swarm;

	private final MissingChunks missingChunks;

	private final ChunkServer server;

	private final OfferSender offerSender;

	private final ManifestFetcher manifestFetcher;

	private final HolderDiscovery holderDiscovery;

	private final ChunkClient chunkClient = new ChunkClient();

	private final WireClient peerClient;

	private final WireClient storeClient;

	private final Address storeAddress;

	private final EventLog log;

	private final AtomicLongArray fetchedBytes = new AtomicLongArray(Distance.values().length);

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private volatile Target target = new Target(List.of(), 0);

	private Set<String> previousDigests = Set.of();

	private Target preparedTarget = this.target;

	private boolean allManifestsKnown = true;

	private volatile long lastProgressNanos = System.nanoTime();

	private volatile @Nullable String failure;

	/**
	 * Creates an exchange that is idle until {@link #start}.
	 * @param settings settings
	 * @param members returns the VMs whose target includes the manifest with the given
	 * digest, or any manifest for the empty digest
	 * @param peerClient client for the peer ports
	 * @param storeClient client for the weight store
	 * @param log log
	 */
	public ChunkExchange(WeightSettings settings, Function<String, List<VmRecord>> members, WireClient peerClient,
			WireClient storeClient, EventLog log) {
		this.staging = new StagingArea(settings.stagingBytes());
		this.swarm = new Swarm(settings, members);
		this.missingChunks = new MissingChunks(settings.self(), settings.mode(), System.nanoTime());
		this.server = new ChunkServer(settings, this.staging, this.swarm);
		this.peerClient = peerClient;
		this.storeClient = storeClient;
		this.storeAddress = settings.storeAddress();
		this.log = log;
		this.offerSender = new OfferSender(this.swarm, peerClient, this.executor);
		this.manifestFetcher = new ManifestFetcher(this.swarm, this.chunkClient, peerClient, storeClient,
				this.storeAddress);
		this.holderDiscovery = new HolderDiscovery(this.swarm, this.missingChunks, this.staging, this.chunkClient,
				peerClient);
	}

	/**
	 * Registers the routes for peers at the peer port and those for the engine of this VM
	 * at a separate port.
	 * @param peerPort port for peers
	 * @param enginePort port for the engine
	 * @param engineHost the only host that may use the engine port
	 */
	public void register(HttpPort peerPort, HttpPort enginePort, String engineHost) {
		this.server.register(peerPort);
		this.server.registerForEngine(enginePort, engineHost);
		peerPort.route("POST", "/v1/chunks/offers", this::receiveOffer);
	}

	public void start() {
		this.executor.execute(() -> runRepeatedly("fetch manifests", this::prepareFetches));
		this.executor.execute(() -> runRepeatedly("send offers", this.offerSender::run));
		IntStream.range(0, MAX_CONCURRENT_FETCHES)
			.forEach((slot) -> this.executor.execute(() -> runRepeatedly("fetch chunks", this::fetchNextChunk)));
	}

	/**
	 * Sets the target manifests. Drops all content that belongs neither to the target,
	 * nor to the previous target, nor to the weights in use. The result of a chunk fetch
	 * in flight is dropped unless its manifest belongs to the target.
	 * @param digests digests of the target manifests
	 * @param inUse digests of the manifests that the engine serves
	 */
	public synchronized void setTarget(List<String> digests, Collection<String> inUse) {
		if (this.target.digests().equals(digests)) {
			return;
		}
		this.previousDigests = Stream.concat(this.target.digests().stream(), inUse.stream())
			.collect(Collectors.toCollection(LinkedHashSet::new));
		this.target = new Target(List.copyOf(digests), System.nanoTime());
		this.missingChunks.clear();
		this.staging.retain(Stream.concat(digests.stream(), this.previousDigests.stream()).toList());
		this.failure = null;
		notifyAll();
	}

	public boolean hasAllChunks(List<String> digests) {
		return this.staging.hasAllChunks(digests);
	}

	/**
	 * Returns the download progress for the state dump.
	 */
	public ExchangeState state() {
		List<Manifest> known = this.target.digests()
			.stream()
			.flatMap((digest) -> this.staging.manifest(digest).stream())
			.toList();
		List<String> chunks = known.stream().flatMap((manifest) -> manifest.chunks().stream()).distinct().toList();
		Map<String, Long> bytes = Arrays.stream(Distance.values())
			.collect(Collectors.toMap(Distance::name, (source) -> this.fetchedBytes.get(source.ordinal())));
		return new ExchangeState((int) chunks.stream().filter(this.staging::containsChunk).count(), chunks.size(),
				this.staging.usedBytes(), this.staging.limitBytes(), bytes, this.failure);
	}

	private void prepareFetches() throws InterruptedException {
		Target current = this.target;
		for (String digest : current.digests()) {
			if (this.target == current && this.staging.manifest(digest).isEmpty()) {
				this.manifestFetcher.tryFetch(digest, current.setAtNanos())
					.ifPresent((content) -> storeManifest(current, digest, content));
			}
		}
		if (this.preparedTarget != current || !this.allManifestsKnown) {
			this.allManifestsKnown = addMissing(current);
			this.preparedTarget = current;
		}
		this.holderDiscovery.runIfDue(this.lastProgressNanos, System.nanoTime());
		awaitWork(current);
	}

	private synchronized void awaitWork(Target current) throws InterruptedException {
		boolean idle = this.target == current && this.preparedTarget == current && this.allManifestsKnown
				&& this.missingChunks.isEmpty();
		TimeUnit.MILLISECONDS.timedWait(this, idle ? IDLE_WAIT_MILLIS : PREPARE_INTERVAL_MILLIS);
	}

	private synchronized void storeManifest(Target current, String digest, byte[] content) {
		if (this.target == current) {
			this.staging.putManifest(digest, content);
			this.lastProgressNanos = System.nanoTime();
		}
	}

	/**
	 * Adds the missing chunks of the target manifests known so far.
	 * @return whether all target manifests are known
	 */
	private synchronized boolean addMissing(Target current) {
		if (this.target != current) {
			return false;
		}
		if (this.staging.bytesOf(current.digests()) > this.staging.limitBytes()) {
			this.failure = "weights exceed the staging area of " + this.staging.limitBytes() + " bytes";
			return false;
		}
		if (this.staging.bytesOf(Stream.concat(current.digests().stream(), this.previousDigests.stream())
			.toList()) > this.staging.limitBytes()) {
			// The target weights take precedence over the previous ones, which are kept
			// for a rollback.
			this.staging.retain(current.digests());
		}
		current.digests()
			.forEach((digest) -> this.staging.manifest(digest)
				.ifPresent((manifest) -> IntStream.range(0, manifest.chunks().size())
					.filter((index) -> !this.staging.containsChunk(manifest.chunks().get(index)))
					.forEach((index) -> this.missingChunks.add(digest, manifest, index, System.nanoTime()))));
		return current.digests().stream().allMatch((digest) -> this.staging.manifest(digest).isPresent());
	}

	private void receiveOffer(Exchange exchange) throws IOException {
		ChunkOffer offer = exchange.readJson(ChunkOffer.class, MAX_OFFER_BYTES);
		this.swarm.findMember(offer.manifest(), offer.holder())
			.filter((holder) -> !this.swarm.recentlyFailed(holder.address(), System.nanoTime()))
			.ifPresent((holder) -> this.holderDiscovery.addHolder(offer, holder));
		exchange.respondJson(200, Map.of());
	}

	private void fetchNextChunk() throws InterruptedException {
		ChunkFetch fetch = this.missingChunks.poll(this.missingChunks.isEmpty() ? IDLE_WAIT_MILLIS : RETRY_POLL_MILLIS)
			.orElse(null);
		if (fetch == null) {
			return;
		}
		VmRecord source = fetch.source();
		try {
			FetchResponse response = (source != null)
					? this.chunkClient.get(this.peerClient, source.address().uri("/v1/chunks/" + fetch.chunk()),
							fetch.bytes(), ChunkClient.PEER_HEADER_TIMEOUT)
					: this.chunkClient.get(this.storeClient, this.storeAddress.uri("/chunks/" + fetch.chunk()),
							fetch.bytes(), ChunkClient.STORE_HEADER_TIMEOUT);
			handleResponse(fetch, response);
		}
		catch (IOException ex) {
			this.log.log(Event.CHUNK_FETCH_FAILED, "chunk", fetch.chunk(), "source", sourceName(source), "error", ex);
			onFetchFailure(fetch);
		}
		catch (WeightException ex) {
			this.failure = ex.getMessage();
			this.missingChunks.retryAt(fetch, System.nanoTime() + STORE_RETRY_MILLIS * 1_000_000);
		}
	}

	private void handleResponse(ChunkFetch fetch, FetchResponse response) {
		if (response.refused()) {
			this.missingChunks.retryAt(fetch, System.nanoTime() + response.retryAfterMillis() * 1_000_000);
			return;
		}
		if (response.status() == 404 && fetch.source() != null) {
			this.missingChunks.removeFailedSource(fetch);
			return;
		}
		this.fetchedBytes.addAndGet(Distance.between(this.swarm.self(), fetch.source()).ordinal(),
				response.body().length);
		if (response.status() != 200 || !storeChunk(fetch, response.body())) {
			this.log.log(Event.CHUNK_CORRUPT, "chunk", fetch.chunk(), "source", sourceName(fetch.source()));
			onFetchFailure(fetch);
		}
	}

	/**
	 * Stores a chunk unless its manifest no longer belongs to the target.
	 * @return false if the content does not match its digest
	 */
	private synchronized boolean storeChunk(ChunkFetch fetch, byte[] content) {
		if (!this.target.digests().contains(fetch.manifest())) {
			return true;
		}
		if (!this.staging.putChunk(fetch.chunk(), content)) {
			return false;
		}
		this.missingChunks.remove(fetch.chunk());
		this.lastProgressNanos = System.nanoTime();
		this.staging.manifest(fetch.manifest())
			.ifPresent((manifest) -> this.offerSender.onChunkVerified(fetch.manifest(), fetch.chunk(),
					manifest.chunks().indexOf(fetch.chunk())));
		if (this.staging.hasAllChunks(this.target.digests())) {
			this.log.log(Event.WEIGHTS_VERIFIED, "manifest", fetch.manifest(), "chunks", state().chunksWanted(),
					"seconds", (System.nanoTime() - this.target.setAtNanos()) / 1e9);
		}
		return true;
	}

	private void onFetchFailure(ChunkFetch fetch) {
		VmRecord source = fetch.source();
		if (source == null) {
			this.missingChunks.retryAt(fetch, System.nanoTime() + STORE_RETRY_MILLIS * 1_000_000);
			return;
		}
		this.swarm.markFailed(source.address(), System.nanoTime());
		this.missingChunks.removeFailedSource(fetch);
		this.missingChunks.removeHolder(source);
	}

	private static String sourceName(@Nullable VmRecord source) {
		return (source != null) ? source.vm() : "store";
	}

	private void runRepeatedly(String name, TaskGuard.InterruptibleTask task) {
		new TaskGuard(name, this.log).repeat(task, this.executor::isShutdown);
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
		this.chunkClient.close();
	}

	private record Target(List<String> digests, long setAtNanos) {
	}

}
