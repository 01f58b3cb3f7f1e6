package org.jaywood.replica;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against weights that fill the link on which the engine sends its answers.
 */
class UploadPacerTests {

	private static final long LINK_BYTES_PER_SECOND = 640_000;

	@Test
	void piecesTakeNoMoreThanTheirShareOfTheLink() throws Exception {
		UploadPacer pacer = new UploadPacer(LINK_BYTES_PER_SECOND);
		byte[] piece = new byte[64_000];
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		long startNanos = System.nanoTime();
		pacer.send(out, piece, false);
		pacer.send(out, piece, false);
		long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		long atFullSpeedMillis = 1_000L * 2 * piece.length / LINK_BYTES_PER_SECOND;
		assertThat(out.size()).isEqualTo(2 * piece.length);
		assertThat(tookMillis).isAtLeast(atFullSpeedMillis);
	}

}
