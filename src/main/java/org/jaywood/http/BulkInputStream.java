package org.jaywood.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Filter whose reads of single bytes go through its read of many, which is the only one
 * that a subclass has to override.
 */
public abstract class BulkInputStream extends FilterInputStream {

	protected BulkInputStream(InputStream in) {
		super(in);
	}

	@Override
	public final int read() throws IOException {
		byte[] single = new byte[1];
		return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
	}

}
