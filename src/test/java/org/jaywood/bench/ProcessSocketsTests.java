package org.jaywood.bench;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against counting the sockets of other processes, and the caller's end of a
 * connection, as send queues of the router.
 */
class ProcessSocketsTests {

	@Test
	void countsOnlyEstablishedConnectionsOfThePort() throws Exception {
		List<String> table = List.of("  sl  local_address rem_address   st tx_queue rx_queue tr",
				"   0: 0100007F:1F90 00000000:0000 0A 00000000:00000005 00:00000000",
				"   1: 0100007F:1F90 0100007F:C350 01 00001000:00000000 01:00000014",
				"   2: 0100007F:C350 0100007F:1F90 01 00000007:00000800 00:00000000",
				"   3: 0000000000000000FFFF00000100007F:1F90 0000000000000000FFFF00000100007F:C351 01 00000010:00000000 0",
				"   4: 0200007F:1F90 0100007F:C352 01 00000100:00000000 00:00000000");
		assertThat(ProcessSockets.of(new Address("127.0.0.1", 8080), table)).isEqualTo(new ProcessSockets(2, 4_112));
	}

}
