package org.jaywood.http;

import java.io.IOException;
import java.io.InputStream;

/**
 * Chunked body that ends behind its trailers. The stream of HttpCore ends behind the last
 * chunk if a read times out within the trailers, so that a body whose trailers never
 * arrive, or are broken, looks complete.
 */
final class TrailedBody extends BulkInputStream {

	private final ResponseInputBuffer buffer;

	private final InputStream connectionInput;

	/**
	 * Creates a body.
	 * @param chunks the stream of HttpCore that joins the chunks
	 * @param buffer buffer of the connection
	 * @param connectionInput bytes of the connection that are not in the buffer yet
	 */
	TrailedBody(InputStream chunks, ResponseInputBuffer buffer, InputStream connectionInput) {
		super(chunks);
		this.buffer = buffer;
		this.connectionInput = connectionInput;
	}

	@Override
	public int read(byte[] bytes, int offset, int length) throws IOException {
		int count = super.read(bytes, offset, length);
		if (count < 0) {
			this.buffer.readTrailers(this.connectionInput);
		}
		return count;
	}

}
