package org.jaywood.replica;

import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.BitSet;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.wire.BadInputException;

import static com.google.common.truth.Truth.assertThat;

class PieceFramesTests {

	private static final HeldPieces.Piece PIECE = new HeldPieces.Piece(7, new byte[] { 1, 2, 3 });

	/**
	 * Guards against pieces that are altered on the way.
	 */
	@Nested
	class Whole {

		@Test
		void aPieceComesBackAsItWas() throws IOException {
			HeldPieces.Piece read = PieceFrames.read(new ByteArrayInputStream(PieceFrames.encode(PIECE)));
			assertThat(read.index()).isEqualTo(7);
			assertThat(read.bytes()).isEqualTo(PIECE.bytes());
		}

		@Test
		void theEndOfTheStreamIsNoPiece() throws IOException {
			assertThat(PieceFrames.read(new ByteArrayInputStream(new byte[0]))).isNull();
		}

		@Test
		void aSetComesBackAsItWas() {
			BitSet set = new BitSet();
			set.set(0);
			set.set(95);
			assertThat(PieceFrames.parseSet(PieceFrames.encodeSet(set))).isEqualTo(set);
		}

	}

	/**
	 * Guards against malformed bytes of a peer that end a task, pass for a piece or take
	 * memory without bound.
	 */
	@Nested
	class Malformed {

		@Test
		void aStreamThatEndsWithinAPieceIsBroken() {
			byte[] whole = PieceFrames.encode(PIECE);
			for (int length = 1; length < whole.length; length++) {
				ByteArrayInputStream part = new ByteArrayInputStream(whole, 0, length);
				Failures.thrownBy(EOFException.class, () -> PieceFrames.read(part));
			}
		}

		@Test
		void aHugeLengthIsRefusedBeforeMemoryIsTaken() {
			byte[] head = ByteBuffer.allocate(8).putInt(0).putInt(Integer.MAX_VALUE).array();
			Failures.thrownBy(IOException.class, () -> PieceFrames.read(new ByteArrayInputStream(head)));
		}

		@Test
		void aSetThatIsNotHexadecimalIsTheFaultOfTheOtherSide() {
			Failures.thrownBy(BadInputException.class, () -> PieceFrames.parseSet("zz"));
		}

	}

}
