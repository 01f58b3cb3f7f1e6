package org.jaywood.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

import org.jaywood.bench.LoadCall.Kind;

/**
 * A recorded trace: calls and faults with their times, and the outcomes that a replay
 * must reach. The text format has one entry a line; lines that start with {@code #} are
 * comments:
 *
 * <pre>
 * jaywood-trace 1
 * profile kitamori
 * call MILLIS WORKSPACE SERVICE KIND TOKENS
 * fault MILLIS KIND TARGET [TARGET]
 * outcome NAME = VALUE, or with &lt;= or &gt;=
 * </pre>
 *
 * @param profile shape of the installation
 * @param arrivals calls in the order of their times
 * @param faults faults in the order of their times
 * @param outcomes outcomes that a replay must reach
 */
public record Trace(Profile profile, List<Arrival> arrivals, List<Fault> faults, List<Outcome> outcomes) {

	private static final String HEADER = "jaywood-trace 1";

	private static final int MAX_LINES = 100_000;

	/**
	 * Reads a trace.
	 * @throws IllegalArgumentException with the line number of the first malformed line
	 */
	public static Trace parse(List<String> lines) {
		if (lines.size() > MAX_LINES) {
			throw new IllegalArgumentException(lines.size() + " lines exceed " + MAX_LINES);
		}
		if (lines.isEmpty() || !lines.getFirst().strip().equals(HEADER)) {
			throw new IllegalArgumentException("line 1: expected '" + HEADER + "'");
		}
		TraceBuilder builder = new TraceBuilder();
		for (int i = 1; i < lines.size(); i++) {
			String line = lines.get(i).strip();
			if (line.isEmpty() || line.startsWith("#")) {
				continue;
			}
			try {
				builder.add(line.split("\\s+"));
			}
			catch (IllegalArgumentException ex) {
				throw new IllegalArgumentException("line " + (i + 1) + ": " + ex.getMessage(), ex);
			}
		}
		return builder.build();
	}

	private static long parseNumber(String text) {
		try {
			long value = Long.parseLong(text);
			if (value >= 0) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// Reported by the exception below.
		}
		throw new IllegalArgumentException("'" + text + "' is not a number of at least 0");
	}

	private static <E extends Enum<E>> E parseConstant(Class<E> type, String text) {
		for (E value : type.getEnumConstants()) {
			if (value.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text)) {
				return value;
			}
		}
		throw new IllegalArgumentException("'" + text + "' is not allowed: expected one of "
				+ Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT).replace('_', '-'));
	}

	private static void requireWordCount(String[] words, int min, int max, String form) {
		if (words.length < min || words.length > max) {
			throw new IllegalArgumentException("expected '" + form + "'");
		}
	}

	/**
	 * A call at a time from the start of the replay.
	 */
	public record Arrival(long millis, String workspace, String service, Kind kind, int tokens) {
	}

	/**
	 * A fault, or the end of a fault, at a time from the start of the replay.
	 */
	public record Fault(long millis, FaultKind kind, List<String> targets) {
	}

	/**
	 * Kind of a fault, with the number of its targets.
	 */
	public enum FaultKind {

		/** Takes a data centre out of service. */
		DATA_CENTRE_OUT(1),

		/** Brings a data centre back into service. */
		DATA_CENTRE_IN(1),

		/** Kills an agent. */
		KILL_AGENT(1),

		/** Starts a killed agent again. */
		START_AGENT(1),

		/** Kills the upstream of an agent. */
		KILL_UPSTREAM(1),

		/** Starts a killed upstream again. */
		START_UPSTREAM(1),

		/** Drops all bytes between two regions, data centres or VMs. */
		PARTITION(2),

		/** Ends a partition. */
		HEAL(2);

		private final int targetCount;

		FaultKind(int targets) {
			this.targetCount = targets;
		}

	}

	/**
	 * An outcome that a replay must reach.
	 *
	 * @param name lost, wrong, unknown, refused, answeredShare or duplicateRuns
	 * @param comparison {@code =}, {@code <=} or {@code >=}
	 * @param value expected value
	 */
	public record Outcome(String name, String comparison, double value) {

		private static final List<String> NAMES = List.of("lost", "wrong", "unknown", "refused", "answeredShare",
				"duplicateRuns");

		public boolean isReached(double measured) {
			return switch (this.comparison) {
				case "=" -> measured == this.value;
				case "<=" -> measured <= this.value;
				default -> measured >= this.value;
			};
		}

		static Outcome of(String[] words) {
			requireWordCount(words, 4, 4, "outcome NAME COMPARISON VALUE");
			if (!NAMES.contains(words[1])) {
				throw new IllegalArgumentException("outcome '" + words[1] + "' is not allowed: expected " + NAMES);
			}
			if (!List.of("=", "<=", ">=").contains(words[2])) {
				throw new IllegalArgumentException("comparison '" + words[2] + "' is not allowed: expected =, <=, >=");
			}
			try {
				return new Outcome(words[1], words[2], Double.parseDouble(words[3]));
			}
			catch (NumberFormatException ex) {
				throw new IllegalArgumentException("'" + words[3] + "' is not a number", ex);
			}
		}

	}

	/**
	 * Collects the entries of a trace.
	 */
	private static final class TraceBuilder {

		private final List<Arrival> arrivals = new ArrayList<>();

		private final List<Fault> faults = new ArrayList<>();

		private final List<Outcome> outcomes = new ArrayList<>();

		private Profile profile = Profile.KITAMORI;

		void add(String[] words) {
			switch (words[0]) {
				case "profile" -> {
					requireWordCount(words, 2, 2, "profile NAME");
					this.profile = Profile.named(words[1]);
				}
				case "call" -> {
					requireWordCount(words, 6, 6, "call MILLIS WORKSPACE SERVICE KIND TOKENS");
					this.arrivals.add(new Arrival(parseNumber(words[1]), words[2], words[3],
							parseConstant(Kind.class, words[4]), (int) parseNumber(words[5])));
				}
				case "fault" -> {
					requireWordCount(words, 4, 5, "fault MILLIS KIND TARGET [TARGET]");
					FaultKind kind = parseConstant(FaultKind.class, words[2]);
					requireWordCount(words, 3 + kind.targetCount, 3 + kind.targetCount,
							"fault MILLIS KIND with " + kind.targetCount + " target(s)");
					this.faults.add(new Fault(parseNumber(words[1]), kind, List.of(words).subList(3, words.length)));
				}
				case "outcome" -> this.outcomes.add(Outcome.of(words));
				default -> throw new IllegalArgumentException(
						"'" + words[0] + "' is not allowed: expected profile, call, fault or outcome");
			}
		}

		Trace build() {
			if (this.outcomes.isEmpty()) {
				throw new IllegalArgumentException("no outcome is stated");
			}
			return new Trace(this.profile,
					this.arrivals.stream().sorted(Comparator.comparingLong(Arrival::millis)).toList(),
					this.faults.stream().sorted(Comparator.comparingLong(Fault::millis)).toList(),
					List.copyOf(this.outcomes));
		}

	}

}
