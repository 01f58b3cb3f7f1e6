package org.jaywood.bench;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.jaywood.bench.LoadCall.Kind;
import org.jaywood.bench.Trace.FaultKind;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a replay that silently skips malformed lines.
 */
class TraceTests {

	@Test
	void readsEntriesInOrderOfTime() {
		Trace trace = Trace
			.parse(List.of("jaywood-trace 1", "# comment", "profile association", "call 20 ws-1 rota-scribe stream 8",
					"call 10 ws-0 rota-desk book 0", "fault 5 partition a b", "outcome answeredShare >= 0.5"));
		assertThat(trace.profile()).isEqualTo(Profile.ASSOCIATION);
		assertThat(trace.arrivals().stream().map(Trace.Arrival::kind)).containsExactly(Kind.BOOK, Kind.STREAM)
			.inOrder();
		assertThat(trace.faults()).containsExactly(new Trace.Fault(5, FaultKind.PARTITION, List.of("a", "b")));
		assertThat(trace.outcomes().getFirst().isReached(0.5)).isTrue();
		assertThat(trace.outcomes().getFirst().isReached(0.4)).isFalse();
	}

	@Test
	void rejectsMalformedEntryWithLineNumberAndExpectedForm() {
		assertThat(failure("jaywood-trace 2")).isEqualTo("line 1: expected 'jaywood-trace 1'");
		assertThat(failure("jaywood-trace 1", "", "walk 1")).startsWith("line 3: 'walk' is not allowed: expected");
		assertThat(failure("jaywood-trace 1", "call 1 ws pool shout 3")).startsWith("line 2: 'shout' is not allowed");
		assertThat(failure("jaywood-trace 1", "call x ws pool read 3")).startsWith("line 2: 'x' is not a number");
		assertThat(failure("jaywood-trace 1", "call 1 ws pool read")).startsWith("line 2: expected 'call MILLIS");
		assertThat(failure("jaywood-trace 1", "fault 1 partition a")).contains("with 2 target(s)");
		assertThat(failure("jaywood-trace 1", "outcome luck = 1")).startsWith("line 2: outcome 'luck'");
		assertThat(failure("jaywood-trace 1", "outcome lost ~ 1")).startsWith("line 2: comparison '~'");
		assertThat(failure("jaywood-trace 1", "call 1 ws pool read 3")).isEqualTo("no outcome is stated");
	}

	private static String failure(String... lines) {
		try {
			Trace.parse(List.of(lines));
		}
		catch (IllegalArgumentException ex) {
			return String.valueOf(ex.getMessage());
		}
		throw new AssertionError("no failure");
	}

}
