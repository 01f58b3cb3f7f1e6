package org.jaywood.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Flow;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Head and body of a request of the JDK's API, as a connection sends them.
 */
final class WireRequest {

	private WireRequest() {
	}

	static ClassicHttpRequest head(HttpRequest request) {
		URI uri = request.uri();
		String query = (uri.getRawQuery() != null) ? "?" + uri.getRawQuery() : "";
		String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
		ClassicHttpRequest head = new BasicClassicHttpRequest(request.method(), path + query);
		head.setHeader(HttpHeaders.HOST, uri.getRawAuthority());
		request.headers().map().forEach((name, values) -> values.forEach((value) -> head.addHeader(name, value)));
		return head;
	}

	/**
	 * Returns the body of a request, which is held in memory.
	 */
	static byte[] body(HttpRequest request) throws IOException {
		Collector collector = new Collector();
		request.bodyPublisher().ifPresentOrElse((publisher) -> publisher.subscribe(collector), collector::onComplete);
		try {
			return collector.bytes.get();
		}
		catch (ExecutionException ex) {
			throw new IOException("cannot read the body of the request", ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	/**
	 * Joins the parts of a body.
	 */
	private static final class Collector implements Flow.Subscriber<ByteBuffer> {

		private final ByteArrayOutputStream parts = new ByteArrayOutputStream();

		private final CompletableFuture<byte[]> bytes = new CompletableFuture<>();

		@Override
		public void onSubscribe(Flow.Subscription subscription) {
			subscription.request(Long.MAX_VALUE);
		}

		@Override
		public void onNext(ByteBuffer part) {
			byte[] copy = new byte[part.remaining()];
			part.get(copy);
			this.parts.writeBytes(copy);
		}

		@Override
		public void onError(Throwable failure) {
			this.bytes.completeExceptionally(failure);
		}

		@Override
		public void onComplete() {
			this.bytes.complete(this.parts.toByteArray());
		}

	}

}
