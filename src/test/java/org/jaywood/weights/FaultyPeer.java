package org.jaywood.weights;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.jaywood.bench.Installation;
import org.jaywood.bench.Installation.Member;
import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;

/**
 * A VM of the weight store's region that reports all chunks as held, and sends wrong
 * bytes or no response.
 */
final class FaultyPeer implements AutoCloseable {

	private final Installation installation;

	private final AtomicInteger chunkRequests = new AtomicInteger();

	private final CountDownLatch closed = new CountDownLatch(1);

	private final HttpPort port;

	private final Member member;

	FaultyPeer(Installation installation, int chunks, int chunkBytes, boolean stalls) throws Exception {
		this.installation = installation;
		Member sibling = installation.agents().getFirst();
		Address address = new Address(
				sibling.listen().host().substring(0, sibling.listen().host().lastIndexOf('.')) + ".240",
				sibling.listen().port());
		this.member = new Member("rogue-" + stalls, "agent", "pool", sibling.region(), sibling.dataCentre(), address,
				address, address, address, address);
		List<Integer> all = IntStream.range(0, chunks).boxed().toList();
		this.port = HttpPort.open(address, new EventLog("rogue"))
			.route("GET", "/v1/chunks/held/",
					(exchange) -> exchange.respondJson(200,
							Map.of("manifest", exchange.lastSegment(), "holder", address, "chunks", all)))
			.route("GET", "/v1/chunks/", (exchange) -> {
				this.chunkRequests.incrementAndGet();
				if (stalls) {
					this.closed.await();
				}
				exchange.respond(200, "application/octet-stream", new byte[chunkBytes]);
			})
			.start();
		installation.register(this.member, "LIVE");
	}

	int chunkRequests() {
		return this.chunkRequests.get();
	}

	@Override
	public void close() throws Exception {
		this.closed.countDown();
		this.installation.register(this.member, "GONE");
		this.port.close();
	}

}
