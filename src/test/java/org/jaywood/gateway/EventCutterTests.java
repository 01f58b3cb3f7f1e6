package org.jaywood.gateway;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EventCutterTests {

	private final EventCutter cutter = new EventCutter();

	private String append(String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		return new String(this.cutter.append(bytes, bytes.length), StandardCharsets.UTF_8);
	}

	/**
	 * Guards against part of an event that reaches the caller, behind which no other
	 * engine could go on.
	 */
	@Nested
	class Cut {

		@Test
		void holdsBackThePartialEvent() {
			assertThat(append("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
			assertThat(EventCutterTests.this.cutter.lastId()).isEqualTo("1");
			assertThat(append("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
			assertThat(EventCutterTests.this.cutter.lastId()).isEqualTo("2");
		}

		@Test
		void acceptsCarriageReturns() {
			assertThat(append("id:7\r\ndata: a\r\n\r\n")).isEqualTo("id:7\r\ndata: a\r\n\r\n");
			assertThat(EventCutterTests.this.cutter.lastId()).isEqualTo("7");
		}

		@Test
		void forgetsAPartialEventThatWasBrokenOff() {
			append("id: 1\n\nid: 2\nda");
			EventCutterTests.this.cutter.dropPartial();
			assertThat(append("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
		}

	}

}
