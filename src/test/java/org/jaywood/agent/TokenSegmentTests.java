package org.jaywood.agent;

import com.google.common.collect.Range;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import org.jaywood.wire.CreditGrant;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies that a segment requests no more tokens than the credit that the router granted
 * covers, and that the segments of an answer together reach exactly its end.
 */
class TokenSegmentTests {

	@Test
	void firstSegmentFitsInitialCredit() {
		assertThat(TokenSegment.firstEndIndex(0, 5_000)).isEqualTo(128);
		assertThat(TokenSegment.firstEndIndex(100, 5_000)).isEqualTo(228);
		assertThat(TokenSegment.firstEndIndex(0, 5)).isEqualTo(5);
		assertThat(TokenSegment.firstEndIndex(Integer.MAX_VALUE, 5)).isEqualTo(5);
	}

	@Test
	void segmentLengthIsCreditDividedByFrameSize() {
		TokenSegment segment = new TokenSegment(0, 5_000);
		for (int i = 0; i < 200; i++) {
			segment.recordFrameBytes(32);
		}
		segment.advance(128, CreditGrant.INITIAL_CREDIT_BYTES / 2);
		assertThat(segment.endIndex() - 128).isIn(Range.closed(127, 128));
	}

	@Test
	void answerIsCompleteWhenEngineStopsBeforeSegmentEnd() {
		TokenSegment segment = new TokenSegment(0, 5_000);
		assertThat(segment.hasMoreAfter(100)).isFalse();
		assertThat(segment.hasMoreAfter(128)).isTrue();
		assertThat(new TokenSegment(0, 128).hasMoreAfter(128)).isFalse();
	}

	@Property(seed = "1")
	void segmentsReachEndOfAnswer(@ForAll @IntRange(min = 0, max = 10_000) int maxTokens,
			@ForAll @IntRange(min = 1, max = 8_192) int frameBytes,
			@ForAll @IntRange(min = 0, max = 1 << 20) int creditBytes) {
		TokenSegment segment = new TokenSegment(0, maxTokens);
		int from = 0;
		while (segment.hasMoreAfter(segment.endIndex())) {
			from = segment.endIndex();
			segment.recordFrameBytes(frameBytes);
			assertThat(segment.minCreditBytes()).isAtMost(CreditGrant.INITIAL_CREDIT_BYTES / 2);
			segment.advance(from, creditBytes);
			assertThat(segment.endIndex()).isGreaterThan(from);
			assertThat(segment.endIndex()).isAtMost(Math.min(maxTokens, from + 256));
		}
		assertThat(segment.endIndex()).isEqualTo(maxTokens);
	}

}
