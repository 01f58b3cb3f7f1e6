package org.jaywood.wire;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.atomic.AtomicBoolean;

import org.jaywood.http.BulkInputStream;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.ConnectionPool;

/**
 * Body of a response. At its end the connection goes back to the pool; one that is closed
 * earlier, from any thread, or fails closes the connection.
 */
final class PooledBody extends BulkInputStream {

	private static final int END = -1;

	private final ClientConnection connection;

	private final ConnectionPool pool;

	/** Whether the connection was returned or closed. */
	private final AtomicBoolean ended = new AtomicBoolean();

	private boolean complete;

	PooledBody(InputStream body, ClientConnection connection, ConnectionPool pool) {
		super(body);
		this.connection = connection;
		this.pool = pool;
	}

	/**
	 * Sets the time within which the rest of the body must arrive.
	 */
	void setReadDeadline(long millis) {
		this.connection.setReadDeadline(millis);
	}

	@Override
	public int read(byte[] bytes, int offset, int length) throws IOException {
		if (this.complete) {
			return END;
		}
		int count = readOrClose(bytes, offset, length);
		if (count < 0) {
			this.complete = true;
			if (this.ended.compareAndSet(false, true)) {
				this.pool.release(this.connection);
			}
		}
		return count;
	}

	private int readOrClose(byte[] bytes, int offset, int length) throws IOException {
		try {
			return super.read(bytes, offset, length);
		}
		catch (IOException ex) {
			close();
			throw ex;
		}
	}

	@Override
	public void close() {
		if (this.ended.compareAndSet(false, true)) {
			this.connection.close();
		}
	}

}
