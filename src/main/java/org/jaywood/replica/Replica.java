package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.util.BitSet;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.CrashEvidence;
import org.jaywood.routing.EvidenceMessage;
import org.jaywood.routing.ModelVersion;
import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * The agent of an engine: it reconciles the engine with the target version, sends chunks
 * to its peers and reports the state of the engine to the gateways.
 */
public final class Replica {

	/** Interval of reports while the state does not change. */
	private static final long REPORT_INTERVAL_MILLIS = 450;

	/**
	 * Maximum wait for a version that a peer requests and this agent may not have
	 * received as target version yet.
	 */
	private static final long UNKNOWN_VERSION_WAIT_MILLIS = 1_200;

	private static final long MAX_WAIT_MILLIS = 5_000;

	/** Records of evidence in one line to a gateway, which has a limited length. */
	private static final int MAX_RECORDS_PER_LINE = 32;

	private static final int MAX_EVIDENCE_BYTES = 256 * 1024;

	private final ReplicaSettings settings;

	private final EngineMonitor monitor;

	private final EngineReconciler reconciler;

	private final DownloadManager downloads;

	private final LocalChunks localChunks;

	private final SnapshotSync snapshotSync;

	private final UploadPacer pacer;

	private final CrashEvidence evidence = new CrashEvidence();

	private final EventLog log;

	private @Nullable HttpPort port;

	private volatile boolean draining;

	public Replica(ReplicaSettings settings, EngineControl engine, WeightOrigin origin, ReplicaFeeds feeds,
			EventLog log) {
		this.settings = settings;
		this.log = log;
		ServiceState serviceState = new ServiceState(settings, log);
		PeerClient peerClient = new PeerClient(new ConnectionPool());
		this.monitor = new EngineMonitor(serviceState, engine, settings.engine().toString(), log);
		this.pacer = new UploadPacer(settings.linkBytesPerSecond(), this.monitor::mayRunCalls);
		this.snapshotSync = new SnapshotSync(settings, serviceState, feeds, peerClient, log);
		ChunkDownloader downloader = new ChunkDownloader(serviceState, peerClient, origin, settings.listen().port(),
				log);
		Rollout rollout = new Rollout(settings.versionGraceMillis());
		this.downloads = new DownloadManager(serviceState, engine, this.monitor, rollout, downloader, log);
		this.localChunks = new LocalChunks(this.downloads, engine, this.monitor, log);
		WeightsLoader loader = new WeightsLoader(engine, BootClock::nowMillis, log);
		this.reconciler = new EngineReconciler(serviceState, loader, rollout, this.downloads, this.monitor, log);
	}

	public void start() {
		this.port = HttpPort.open(this.settings.listen(), this.log)
			.withExecutor(DaemonThreads.requestPool())
			.route("GET", "/v1/load", this::sendReports)
			.route("POST", "/v1/evidence", this::receiveEvidence)
			.route("GET", PeerClient.WEIGHTS_PATH_PREFIX, this::sendWeights)
			.start();
		this.monitor.start();
		this.snapshotSync.start();
		this.downloads.start();
		this.reconciler.start();
		this.log.log(Event.PROCESS_STARTED, "role", "replica", "address", this.settings.listen());
	}

	/**
	 * Stops the agent. The engine continues without it.
	 */
	public void drain(long nowMillis) {
		this.draining = true;
		this.reconciler.close();
		this.downloads.close();
		this.monitor.close();
		this.snapshotSync.close();
		this.log.log(Event.PROCESS_STOPPED, "role", "replica", "seconds", 0);
	}

	private void sendReports(Exchange exchange) throws IOException, InterruptedException {
		Address gateway = Address.parse(exchange.query().getOrDefault("gateway", ""));
		this.snapshotSync.addGateway(gateway, exchange.query().getOrDefault("dataCentre", ""));
		this.monitor.subscribedGateways().incrementAndGet();
		try (OutputStream out = exchange.stream(200, "application/x-ndjson")) {
			long seenCount = -1;
			long toldSequence = 0;
			while (!this.draining) {
				boolean moreToTell = this.evidence.sequence() > toldSequence;
				EngineMonitor.NumberedReport report = this.monitor.await(moreToTell ? -1 : seenCount,
						REPORT_INTERVAL_MILLIS);
				seenCount = report.number();
				long nowMillis = BootClock.nowMillis();
				CrashEvidence.Changes changes = this.evidence.changes(toldSequence, MAX_RECORDS_PER_LINE, nowMillis);
				toldSequence = changes.last();
				out.write(report.line(changes.message(), nowMillis));
				out.flush();
			}
		}
		catch (IOException ex) {
			throw exchange.abort("gateway " + exchange.clientHost() + " left: " + ex.getMessage());
		}
		finally {
			this.monitor.subscribedGateways().decrementAndGet();
			this.snapshotSync.removeGateway(gateway);
		}
	}

	/**
	 * Merges what a gateway has learned and passes it on to all gateways.
	 */
	private void receiveEvidence(Exchange exchange) throws IOException {
		EvidenceMessage message = exchange.readJson(EvidenceMessage.class, MAX_EVIDENCE_BYTES);
		long nowMillis = BootClock.nowMillis();
		this.evidence.expire(nowMillis);
		if (this.evidence.merge(message, nowMillis)) {
			this.monitor.wakeGateways();
		}
		exchange.respondJson(200, EvidenceMessage.EMPTY);
	}

	private void sendWeights(Exchange exchange) throws IOException, InterruptedException {
		String[] parts = exchange.path().substring(PeerClient.WEIGHTS_PATH_PREFIX.length()).split("/");
		if (parts.length != 3) {
			throw new BadInputException(404, "no such weights: " + exchange.path());
		}
		ModelVersion version = new ModelVersion(parts[0], parseVersion(parts[1]));
		long waitMillis = Math.clamp(exchange.queryLong("wait", 0), 0, MAX_WAIT_MILLIS);
		if (parts[2].equals(PeerClient.MANIFEST_SEGMENT)) {
			sendManifest(exchange, this.localChunks.chunkManifest(version, waitMillis));
			return;
		}
		if (!parts[2].equals(PeerClient.CHUNKS_SEGMENT)) {
			throw new BadInputException(404, "no such part of weights: " + parts[2]);
		}
		sendChunks(exchange, version, waitMillis);
	}

	/**
	 * Streams the requested chunks as they arrive here.
	 */
	private void sendChunks(Exchange exchange, ModelVersion version, long waitMillis)
			throws IOException, InterruptedException {
		BitSet unsent = ChunkFrames.decodeIndexes(exchange.query().getOrDefault("pieces", ""));
		int requestedCount = unsent.cardinality();
		long startMillis = BootClock.nowMillis();
		ChunkUploader uploader = new ChunkUploader(
				(indexes, millis) -> this.localChunks.nextChunk(version, indexes, millis), this.pacer,
				exchange.query().containsKey("far"));
		try (OutputStream out = exchange.stream(200, "application/octet-stream")) {
			uploader.send(out, unsent, chunkWaitMillis(version, waitMillis), () -> !this.draining);
		}
		catch (IOException ex) {
			throw exchange.abort("peer " + exchange.clientHost() + " left: " + ex.getMessage());
		}
		finally {
			this.log.log(Event.PIECES_SENT, "count", requestedCount - unsent.cardinality(), "asked", requestedCount,
					"manifest", version.model() + "/" + version.version(), "peer", exchange.clientHost(), "millis",
					BootClock.nowMillis() - startMillis, "idleMillis", uploader.idleMillis());
		}
	}

	private long chunkWaitMillis(ModelVersion version, long waitMillis) {
		return this.localChunks.hasOrAwaits(version) ? waitMillis : Math.min(waitMillis, UNKNOWN_VERSION_WAIT_MILLIS);
	}

	private static void sendManifest(Exchange exchange, @Nullable ChunkManifest manifest) throws IOException {
		if (manifest == null) {
			exchange.respondError(404, "no list of these weights");
		}
		else {
			exchange.respondJson(200, manifest);
		}
	}

	private static long parseVersion(String text) {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new BadInputException(400, "not a number: " + text);
		}
	}

}
