package org.jaywood.metering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.leader.CloudResponse;
import org.jaywood.wire.Json;

/**
 * Merges the counts of all gateways at the leader, seals each window once, and keeps what
 * has to be sent. It guarantees that no two reports of one window differ, whichever
 * processes lead one after the other: a total is sent only when the store has
 * acknowledged it, the next leader sends the saved total, and after a restore of the
 * store only the process that sealed a window may send a total that the store has lost.
 * Designed for some tens of gateways that report every 400 ms. All times are true times.
 * Thread-safe.
 */
public final class UsageLedger {

	/** Time after the end of a window at which it is sealed. */
	private static final long SEAL_AFTER_MILLIS = 3_000;

	/**
	 * Time after an election in which the gateways tell the new leader their counts: they
	 * see the new lease when their own attempt to take it fails, and report twice a
	 * second.
	 */
	private static final long GATHER_MILLIS = 1_500;

	/** Time before the report of a window is due at which it is sealed at the latest. */
	private static final long SEAL_BEFORE_DUE_MILLIS = 2_500;

	/**
	 * Bytes of the open counts in the saved state, about. The lease object takes 256 KB
	 * for all singletons, and sealed windows need a part of it.
	 */
	private static final int MAX_OPEN_BYTES = 128 * 1024;

	/** Bytes of a number with its punctuation in the saved state. */
	private static final int NUMBER_BYTES = 12;

	private final UsageWindows windows;

	/** Counts by window, process and workspace. */
	private final TreeMap<Long, Map<String, Map<String, Long>>> open = new TreeMap<>();

	/**
	 * Calls by window and process that did not fit, so that a repeated message does not
	 * count them again.
	 */
	private final TreeMap<Long, Map<String, Long>> excess = new TreeMap<>();

	private final TreeMap<Long, SealedWindow> sealed = new TreeMap<>();

	/** Window up to which all are sealed or skipped. */
	private long lastSealed = Long.MIN_VALUE;

	private long lastAccepted = -1;

	private long electedMillis;

	private int openBytes;

	private long dropped;

	public UsageLedger(UsageWindows windows) {
		this.windows = windows;
	}

	/**
	 * Begins a term.
	 * @param state state of the last leader, or null if there is none
	 * @param firstWindow first window that may be sealed unless the state says more: a
	 * leader before may have sealed and reported those before it
	 */
	public synchronized void begin(@Nullable JsonNode state, long firstWindow, long nowMillis) {
		this.electedMillis = nowMillis;
		// Totals of this process that the store has never acknowledged were not sent, and
		// another leader may have sealed these windows since.
		this.sealed.values().removeIf((window) -> !window.saved());
		long last = firstWindow - 1;
		if (state != null) {
			last = Math.max(last, state.path("last").asLong(Long.MIN_VALUE));
			state.path("sealed")
				.properties()
				.forEach((entry) -> inherit(Long.parseLong(entry.getKey()), entry.getValue()));
		}
		if (!this.sealed.isEmpty()) {
			last = Math.max(last, this.sealed.lastKey());
		}
		// Older windows are skipped without a last window in the state, or after a long
		// time without a leader: their reports are due already.
		this.lastSealed = Math.max(last, this.windows.windowAt(nowMillis) - UsageWindows.MAX_WINDOWS);
		if (state != null) {
			state.path("open")
				.properties()
				.forEach((window) -> window.getValue()
					.properties()
					.forEach((process) -> merge(Long.parseLong(window.getKey()), process.getKey(),
							counts(process.getValue()))));
		}
		dropSealedCounts(this.lastSealed);
	}

	private void inherit(long window, JsonNode saved) {
		UsageReport report = new UsageReport(window, counts(saved.path("counts")));
		SealedWindow own = this.sealed.get(window);
		if (own == null) {
			this.sealed.put(window, new SealedWindow(report, status(saved)));
		}
		else if (!own.report().equals(report)) {
			// Either may have been sent, so that neither may be sent again.
			own.withhold();
		}
		else {
			switch (status(saved)) {
				case ACCEPTED -> own.markAccepted();
				case WITHHELD -> own.withhold();
				case SEALED, SAVED -> {
				}
			}
		}
	}

	private static SealedWindow.Status status(JsonNode saved) {
		if (saved.path("withheld").asBoolean()) {
			return SealedWindow.Status.WITHHELD;
		}
		return saved.path("accepted").asBoolean() ? SealedWindow.Status.ACCEPTED : SealedWindow.Status.SAVED;
	}

	private static Map<String, Long> counts(JsonNode node) {
		Map<String, Long> counts = new HashMap<>();
		node.properties().forEach((entry) -> counts.put(entry.getKey(), entry.getValue().asLong()));
		return counts;
	}

	/**
	 * Merges the counts of a gateway process. The highest count wins, so a repeat changes
	 * nothing.
	 */
	public synchronized void merge(ProcessCounts counts, long nowMillis) {
		long newest = this.windows.windowAt(nowMillis) + 1;
		counts.windows().forEach((window, latest) -> {
			if (window <= newest) {
				merge(window, counts.process(), latest);
			}
		});
	}

	private void merge(long window, String process, Map<String, Long> latest) {
		if (window <= this.lastSealed
				|| (this.open.size() >= UsageWindows.MAX_WINDOWS && !this.open.containsKey(window))) {
			return;
		}
		Map<String, Long> merged = this.open.computeIfAbsent(window, (key) -> new HashMap<>())
			.computeIfAbsent(process, (key) -> new HashMap<>());
		long left = latest.entrySet()
			.stream()
			.filter((entry) -> !take(merged, entry.getKey(), entry.getValue()))
			.mapToLong(Map.Entry::getValue)
			.sum();
		if (left > 0) {
			Map<String, Long> known = this.excess.computeIfAbsent(window, (key) -> new HashMap<>());
			long before = known.getOrDefault(process, 0L);
			known.put(process, Math.max(before, left));
			this.dropped += Math.max(0, left - before);
		}
	}

	/**
	 * Merges a count.
	 * @return whether there is room for it
	 */
	private boolean take(Map<String, Long> merged, String workspace, long count) {
		int bytes = workspace.length() + NUMBER_BYTES;
		if (!merged.containsKey(workspace)) {
			if (this.openBytes + bytes > MAX_OPEN_BYTES || merged.size() >= UsageWindows.MAX_WORKSPACES) {
				return false;
			}
			this.openBytes += bytes;
		}
		merged.merge(workspace, count, Math::max);
		return true;
	}

	/**
	 * Returns the windows that are to be sealed now.
	 */
	public synchronized List<Long> sealable(long nowMillis) {
		if (this.lastSealed == Long.MIN_VALUE) {
			return List.of();
		}
		return LongStream.rangeClosed(this.lastSealed + 1, this.windows.windowAt(nowMillis))
			.filter((window) -> nowMillis >= Math.min(
					Math.max(this.windows.endMillis(window) + SEAL_AFTER_MILLIS, this.electedMillis + GATHER_MILLIS),
					this.windows.dueMillis(window) - SEAL_BEFORE_DUE_MILLIS))
			.boxed()
			.toList();
	}

	/**
	 * Whether a window must be sealed even if not all counts could be read.
	 */
	public boolean urgent(long window, long nowMillis) {
		return nowMillis >= this.windows.dueMillis(window) - SEAL_BEFORE_DUE_MILLIS;
	}

	/**
	 * Seals windows: their totals no longer change in this term. One whose report is due
	 * already is skipped, since its report would be worth nothing.
	 * @return the sealed and the skipped windows
	 */
	public synchronized Sealing seal(Collection<Long> sealable, long nowMillis) {
		List<UsageReport> reports = new ArrayList<>();
		List<Long> skipped = new ArrayList<>();
		sealable.stream().sorted().filter((window) -> window > this.lastSealed).forEach((window) -> {
			this.lastSealed = window;
			if (nowMillis >= this.windows.dueMillis(window)) {
				skipped.add(window);
				return;
			}
			Map<String, Long> total = new HashMap<>();
			this.open.getOrDefault(window, Map.of())
				.values()
				.forEach((counts) -> counts.forEach((workspace, count) -> total.merge(workspace, count, Long::sum)));
			UsageReport report = new UsageReport(window, total);
			this.sealed.put(window, new SealedWindow(report, SealedWindow.Status.SEALED));
			reports.add(report);
		});
		return new Sealing(reports, skipped);
	}

	/**
	 * Returns the state that the next leader needs.
	 */
	public synchronized JsonNode state() {
		ObjectNode state = Json.mapper().createObjectNode().put("last", this.lastSealed);
		ObjectNode sealedNode = state.putObject("sealed");
		// Leaders of earlier releases know only "accepted" and must not send a withheld
		// total.
		this.sealed.forEach((window, entry) -> sealedNode.putObject(Long.toString(window))
			.put("accepted", entry.accepted() || entry.withheld())
			.put("withheld", entry.withheld())
			.set("counts", Json.mapper().valueToTree(entry.report().counts())));
		ObjectNode openNode = state.putObject("open");
		this.open.tailMap(this.lastSealed, false)
			.forEach((window, counts) -> openNode.set(Long.toString(window), Json.mapper().valueToTree(counts)));
		return state;
	}

	/**
	 * Takes in that the store has acknowledged a state.
	 */
	public synchronized void onSaved(JsonNode state) {
		state.path("sealed").fieldNames().forEachRemaining((window) -> {
			SealedWindow entry = this.sealed.get(Long.parseLong(window));
			if (entry != null) {
				entry.markSaved();
			}
		});
		dropSealedCounts(lastSaved());
	}

	/**
	 * Returns the next report to send.
	 */
	public synchronized Optional<UsageReport> nextReport(long nowMillis) {
		return this.sealed.values()
			.stream()
			.filter((entry) -> entry.mayBeSent(nowMillis)
					&& nowMillis < this.windows.dueMillis(entry.report().windowId()))
			.map(SealedWindow::report)
			.findFirst();
	}

	/**
	 * Takes in the response to a report.
	 */
	public synchronized void onResponse(UsageReport report, CloudResponse response, long nowMillis) {
		SealedWindow entry = this.sealed.get(report.windowId());
		if (entry != null) {
			entry.onResponse(response, nowMillis);
			if (entry.accepted()) {
				this.lastAccepted = Math.max(this.lastAccepted, report.windowId());
			}
		}
	}

	/**
	 * Forgets the windows whose report is due.
	 * @return those that were not accepted
	 */
	public synchronized List<Long> removeDue(long nowMillis) {
		List<Long> missed = this.sealed.values()
			.stream()
			.filter((entry) -> !entry.accepted())
			.map((entry) -> entry.report().windowId())
			.filter((window) -> nowMillis >= this.windows.dueMillis(window))
			.toList();
		Set<Long> due = new HashSet<>();
		this.sealed.keySet().stream().filter((window) -> nowMillis >= this.windows.dueMillis(window)).forEach(due::add);
		this.sealed.keySet().removeAll(due);
		return missed;
	}

	/**
	 * Returns the last window whose total the store has, or that is skipped. Later counts
	 * of it are dropped.
	 */
	public synchronized long lastSaved() {
		return this.sealed.values()
			.stream()
			.filter((entry) -> !entry.saved())
			.mapToLong((entry) -> entry.report().windowId() - 1)
			.min()
			.orElse(this.lastSealed);
	}

	public synchronized long lastAccepted() {
		return this.lastAccepted;
	}

	/**
	 * Returns the number of calls that were dropped because of a bound.
	 */
	public synchronized long dropped() {
		return this.dropped;
	}

	private void dropSealedCounts(long last) {
		this.open.headMap(last, true).clear();
		this.excess.headMap(last, true).clear();
		this.openBytes = this.open.values()
			.stream()
			.flatMap((processes) -> processes.values().stream())
			.flatMap((counts) -> counts.keySet().stream())
			.mapToInt((workspace) -> workspace.length() + NUMBER_BYTES)
			.sum();
	}

	/**
	 * Windows that were sealed, and those that were skipped.
	 *
	 * @param reports reports of the sealed windows
	 * @param skipped windows whose report was due already
	 */
	public record Sealing(List<UsageReport> reports, List<Long> skipped) {
	}

}
