package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.util.BitSet;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.ModelVersion;
import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.DaemonThreads;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * The process beside an engine: it keeps the engine on the named weights, passes pieces
 * of weights on to its peers and reports the state of the engine to the gateways.
 */
public final class Replica {

	/** Interval of reports while nothing changes. */
	private static final long REPORT_INTERVAL_MILLIS = 450;

	/** Time in which this agent may still hear of a version that a peer asks for. */
	private static final long UNKNOWN_VERSION_WAIT_MILLIS = 1_200;

	private static final long MAX_WAIT_MILLIS = 5_000;

	private final ReplicaSettings settings;

	private final EngineMonitor monitor;

	private final EngineReconciler reconciler;

	private final DownloadManager downloads;

	private final LocalChunks localChunks;

	private final SnapshotSync snapshotSync;

	private final UploadPacer pacer;

	private final EventLog log;

	private @Nullable HttpPort port;

	private volatile boolean draining;

	public Replica(ReplicaSettings settings, EngineControl engine, WeightOrigin origin, ReplicaFeeds feeds,
			EventLog log) {
		this.settings = settings;
		this.log = log;
		ServiceState fleet = new ServiceState(settings, log);
		PeerClient peers = new PeerClient(new ConnectionPool());
		this.monitor = new EngineMonitor(fleet, engine, settings.engine().toString(), log);
		this.pacer = new UploadPacer(settings.linkBytesPerSecond(), this.monitor::mayRunCalls);
		this.snapshotSync = new SnapshotSync(settings, fleet, feeds, peers, log);
		ChunkDownloader fetcher = new ChunkDownloader(fleet, peers, origin, settings.listen().port(), log);
		Rollout rollout = new Rollout();
		this.downloads = new DownloadManager(fleet, engine, this.monitor, rollout, fetcher, log);
		this.localChunks = new LocalChunks(this.downloads, engine, this.monitor, log);
		this.reconciler = new EngineReconciler(fleet, engine, rollout, this.downloads, this.monitor, log);
	}

	public void start() {
		this.port = HttpPort.open(this.settings.listen(), this.log)
			.withExecutor(DaemonThreads.requestPool())
			.route("GET", "/v1/load", this::sendReports)
			.route("GET", PeerClient.WEIGHTS_PATH_PREFIX, this::sendWeights)
			.start();
		this.monitor.start();
		this.snapshotSync.start();
		this.downloads.start();
		this.reconciler.start();
		this.log.log(Event.PROCESS_STARTED, "role", "replica", "address", this.settings.listen());
	}

	/**
	 * Ends the process. The engine goes on by itself.
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
			long seen = -1;
			while (!this.draining) {
				EngineMonitor.NumberedReport change = this.monitor.await(seen, REPORT_INTERVAL_MILLIS);
				seen = change.number();
				out.write(change.line(BootClock.nowMillis()));
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

	private void sendWeights(Exchange exchange) throws IOException, InterruptedException {
		String[] parts = exchange.path().substring(PeerClient.WEIGHTS_PATH_PREFIX.length()).split("/");
		if (parts.length != 3) {
			throw new BadInputException(404, "no such weights: " + exchange.path());
		}
		ModelVersion weights = new ModelVersion(parts[0], parseVersion(parts[1]));
		long waitMillis = Math.clamp(exchange.queryLong("wait", 0), 0, MAX_WAIT_MILLIS);
		if (parts[2].equals(PeerClient.MANIFEST_SEGMENT)) {
			sendManifest(exchange, this.localChunks.chunkManifest(weights, waitMillis));
			return;
		}
		if (!parts[2].equals(PeerClient.CHUNKS_SEGMENT)) {
			throw new BadInputException(404, "no such part of weights: " + parts[2]);
		}
		sendChunks(exchange, weights, waitMillis);
	}

	/**
	 * Sends the pieces asked for as they arrive here.
	 */
	private void sendChunks(Exchange exchange, ModelVersion weights, long waitMillis)
			throws IOException, InterruptedException {
		BitSet wanted = ChunkFrames.decodeIndexes(exchange.query().getOrDefault("pieces", ""));
		int asked = wanted.cardinality();
		long beginMillis = BootClock.nowMillis();
		ChunkUploader sender = new ChunkUploader(
				(indexes, millis) -> this.localChunks.nextChunk(weights, indexes, millis), this.pacer,
				exchange.query().containsKey("far"));
		try (OutputStream out = exchange.stream(200, "application/octet-stream")) {
			sender.send(out, wanted, chunkWaitMillis(weights, waitMillis), () -> !this.draining);
		}
		catch (IOException ex) {
			throw exchange.abort("peer " + exchange.clientHost() + " left: " + ex.getMessage());
		}
		finally {
			this.log.log(Event.PIECES_SENT, "count", asked - wanted.cardinality(), "asked", asked, "manifest",
					weights.model() + "/" + weights.version(), "peer", exchange.clientHost(), "millis",
					BootClock.nowMillis() - beginMillis, "idleMillis", sender.idleMillis());
		}
	}

	private long chunkWaitMillis(ModelVersion weights, long waitMillis) {
		return this.localChunks.hasOrAwaits(weights) ? waitMillis : Math.min(waitMillis, UNKNOWN_VERSION_WAIT_MILLIS);
	}

	private static void sendManifest(Exchange exchange, @Nullable ChunkManifest list) throws IOException {
		if (list == null) {
			exchange.respondError(404, "no list of these weights");
		}
		else {
			exchange.respondJson(200, list);
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
