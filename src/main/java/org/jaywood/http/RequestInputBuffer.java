package org.jaywood.http;

import java.io.IOException;
import java.io.InputStream;

import org.jspecify.annotations.Nullable;

/**
 * Input buffer for requests that reserves the memory of a head as its bytes arrive.
 */
final class RequestInputBuffer extends MessageInputBuffer {

	private @Nullable HeadReservation reservation;

	RequestInputBuffer(int bufferBytes, int maxHeadBytes) {
		super(bufferBytes, maxHeadBytes);
	}

	/**
	 * Starts a request whose head is charged to a reservation, with the bytes of it that
	 * have arrived.
	 */
	void startRequest(HeadReservation head) {
		startExchange();
		head.onArrived(length());
		this.reservation = head;
	}

	@Override
	void startBody() {
		super.startBody();
		this.reservation = null;
	}

	@Override
	public int fillBuffer(InputStream in) throws IOException {
		int length = super.fillBuffer(in);
		if (this.reservation != null && length > 0) {
			this.reservation.onArrived(length);
		}
		return length;
	}

}
