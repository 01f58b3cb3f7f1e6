package org.jaywood.metering;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.Handover;
import org.jaywood.leader.LeaderTask;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.wire.Json;

/**
 * Reports the usage of workspaces while this process is the leader.
 */
public final class UsageTask implements LeaderTask {

	/** Name of the singleton. */
	public static final String NAME = "usage";

	/**
	 * Most bytes of the leader's own counts in a response: some hundred workspaces, of
	 * which each gateway gets a copy several times a second.
	 */
	private static final int MAX_COPY_BYTES = 16 * 1024;

	private final UsageWindows windows;

	private final UsageLedger ledger;

	private final TrueTime trueTime;

	private final UsageApi api;

	private final UsageCountStore countStore;

	private final String process;

	private final UsageCounter counter;

	private final LongSupplier bootMillis;

	private final EventLog log;

	/**
	 * Creates a task.
	 * @param process random id of this process
	 * @param counter counts of this process
	 * @param bootMillis returns the boot time, read again after a call to the platform
	 * because the call takes time
	 */
	public UsageTask(UsageWindows windows, TrueTime trueTime, UsageApi api, UsageCountStore countStore, String process,
			UsageCounter counter, LongSupplier bootMillis, EventLog log) {
		this.windows = windows;
		this.ledger = new UsageLedger(windows);
		this.trueTime = trueTime;
		this.api = api;
		this.countStore = countStore;
		this.process = process;
		this.counter = counter;
		this.bootMillis = bootMillis;
		this.log = log;
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Begins a term. If the store was restored since the inherited state was saved, a
	 * leader before may have sealed and reported any window that ended before the first
	 * response of the restored store.
	 */
	@Override
	public void onElected(Handover handover, long nowMillis) {
		long firstWindow = handover.complete() ? 0 : Math
			.max(this.windows.windowAt(this.trueTime.at(handover.eraSinceMillis())), this.counter.lastSealed() + 1);
		long trueMillis = this.trueTime.at(nowMillis);
		try {
			this.ledger.begin(handover.state(), firstWindow, trueMillis);
		}
		catch (RuntimeException ex) {
			// What an unreadable state has sealed is not known.
			this.log.log(Event.TASK_FAILED, "task", NAME, "error", ex);
			this.ledger.begin(null, this.windows.windowAt(trueMillis), trueMillis);
		}
	}

	@Override
	public void onTick(LeaderTerm term, long nowMillis) {
		long trueMillis = this.trueTime.at(nowMillis);
		seal(trueMillis);
		this.ledger.removeDue(trueMillis).forEach((window) -> logMissed(window, "not accepted in time"));
		this.ledger.nextReport(trueMillis).ifPresent((report) -> {
			CloudResponse response = this.api.report(term, report);
			this.ledger.onResponse(report, response, this.trueTime.at(this.bootMillis.getAsLong()));
			if (response instanceof CloudResponse.Accepted) {
				this.log.log(Event.USAGE_ACCEPTED, "window", report.windowId(), "token", term.token());
			}
			else {
				this.log.log(Event.USAGE_NOT_ACCEPTED, "window", report.windowId(), "token", term.token(), "response",
						response);
			}
		});
	}

	/**
	 * Seals the windows whose time has come, after the counts of gateways that did not
	 * reach the leader were read once.
	 */
	private void seal(long trueMillis) {
		List<Long> sealable = this.ledger.sealable(trueMillis);
		if (sealable.isEmpty()) {
			return;
		}
		try {
			this.countStore.readAll().forEach((counts) -> this.ledger.merge(counts, trueMillis));
		}
		catch (IOException ex) {
			// Windows that can wait are sealed later, with the stored counts.
			sealable = sealable.stream().filter((window) -> this.ledger.urgent(window, trueMillis)).toList();
			if (sealable.isEmpty()) {
				return;
			}
			this.log.log(Event.TASK_FAILED, "task", NAME, "error", ex);
		}
		this.ledger.merge(ownCounts(), trueMillis);
		UsageLedger.Sealing sealing = this.ledger.seal(sealable, trueMillis);
		sealing.reports()
			.forEach((report) -> this.log.log(Event.USAGE_SEALED, "window", report.windowId(), "calls",
					report.counts().values().stream().mapToLong(Long::longValue).sum(), "workspaces",
					report.counts().size()));
		sealing.skipped().forEach((window) -> logMissed(window, "no leader until it was due"));
	}

	private void logMissed(long window, String reason) {
		this.log.log(Event.USAGE_MISSED, "window", window, "reason", reason);
	}

	/**
	 * Takes in the counts of a gateway.
	 */
	public UsageConfirmation onMessage(UsageMessage message, LeaderTerm term, long nowMillis) {
		long trueMillis = this.trueTime.at(nowMillis);
		message.all().forEach((counts) -> this.ledger.merge(counts, trueMillis));
		return new UsageConfirmation(this.ledger.lastSaved(), term.token(),
				message.process().equals(this.process) ? null : copyOfOwnCounts());
	}

	private @Nullable ProcessCounts copyOfOwnCounts() {
		ProcessCounts own = ownCounts();
		return (Json.bytes(own).length <= MAX_COPY_BYTES) ? own : null;
	}

	private ProcessCounts ownCounts() {
		return new ProcessCounts(this.process, this.counter.counts());
	}

	@Override
	public JsonNode state(long nowMillis) {
		this.ledger.merge(ownCounts(), this.trueTime.at(nowMillis));
		return this.ledger.state();
	}

	@Override
	public void onStateSaved(JsonNode state, long nowMillis) {
		this.ledger.onSaved(state);
	}

	/**
	 * Returns the last window that was sealed and saved, or -1 if there is none.
	 */
	public long lastSealed() {
		return Math.max(-1, this.ledger.lastSaved());
	}

	/**
	 * Returns the last window whose report this process knows to be accepted, or -1 if
	 * there is none.
	 */
	public long lastAccepted() {
		return this.ledger.lastAccepted();
	}

	/**
	 * Returns the number of calls that were dropped because of a bound.
	 */
	public long dropped() {
		return this.ledger.dropped();
	}

	@Override
	public Map<String, Object> describe(long nowMillis) {
		return Map.of("lastSealed", lastSealed(), "lastAccepted", lastAccepted(), "dropped", dropped());
	}

}
