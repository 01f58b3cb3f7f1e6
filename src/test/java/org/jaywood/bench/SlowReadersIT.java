package org.jaywood.bench;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards the bound on the router's caller memory and the answers of normal callers while
 * 200 other callers read 1 KB/s or never read.
 */
class SlowReadersIT {

	private static final int SLOW_READERS = 100;

	private static final int SILENT_READERS = 100;

	private static final int NORMAL_CALLS = 100;

	private static final int BYTES_PER_CALLER = 16 * 1024;

	private static final Pattern TOKEN = Pattern.compile("\\{\"index\":(\\d+),\"text\":\"(\\w+)\"}");

	private static final Pattern END = Pattern.compile("\"digest\":\"(\\w{64})\"");

	@Test
	void routerMemoryStaysBoundedAndNoAnswerIsTruncated() throws Exception {
		try (Installation installation = Installation.start(Profile.KITAMORI, 1);
				ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor()) {
			String manifest = installation.addWeights("1", 262_144, 32_768);
			installation.apply(installation.deployment("1", manifest));
			installation.awaitServing(Digests.ofSet(List.of(manifest)), 20_000);
			installation.awaitGeneration(1, 10_000);
			Address router = installation.routers().getFirst().caller();
			makeNormalCalls(installation, router);
			long before = residentKilobytes(installation);
			List<Socket> silent = new ArrayList<>();
			for (int i = 0; i < SILENT_READERS; i++) {
				silent.add(openStream(router, "silent " + i, 5_000));
			}
			List<Future<String>> slow = new ArrayList<>();
			for (int i = 0; i < SLOW_READERS; i++) {
				Socket socket = openStream(router, "slow " + i, 500);
				slow.add(tasks.submit(() -> readSlowly(socket)));
			}
			makeNormalCalls(installation, router);
			long memoryBytes = callerMemoryBytes(installation);
			assertThat(memoryBytes).isAtMost((long) BYTES_PER_CALLER * (SLOW_READERS + SILENT_READERS));
			for (Future<String> reader : slow) {
				assertComplete(reader.get(60, TimeUnit.SECONDS));
			}
			System.out.println("slow readers: held " + memoryBytes + " bytes, resident " + before + " -> "
					+ residentKilobytes(installation) + " KB");
			for (Socket socket : silent) {
				socket.close();
			}
			Installation.await("memory is released", 20_000, () -> callerMemoryBytes(installation) == 0);
		}
	}

	private static void makeNormalCalls(Installation installation, Address router)
			throws IOException, InterruptedException {
		for (int i = 0; i < NORMAL_CALLS; i++) {
			HttpResponse<byte[]> response = installation.client()
				.post(router.uri("/v1/completions"), Map.of("model", "pool", "prompt", "normal " + i, "max_tokens", 2),
						Duration.ofSeconds(10));
			assertWithMessage("call %s: %s", i, new String(response.body(), StandardCharsets.UTF_8))
				.that(response.statusCode())
				.isEqualTo(200);
			assertThat(Json.tree(response.body()).path("count").asInt()).isEqualTo(2);
		}
	}

	private static Socket openStream(Address router, String prompt, int tokens) throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(4_096);
		socket.setSoTimeout(30_000);
		socket.connect(new InetSocketAddress(router.host(), router.port()));
		byte[] body = Json.bytes(Map.of("model", "pool", "prompt", prompt, "max_tokens", tokens, "stream", true));
		socket.getOutputStream()
			.write(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length + "\r\n\r\n"
					+ new String(body, StandardCharsets.UTF_8))
				.getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	private static String readSlowly(Socket socket) throws IOException, InterruptedException {
		StringBuilder text = new StringBuilder();
		try (socket; InputStream in = socket.getInputStream()) {
			byte[] buffer = new byte[102];
			for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
				text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
				if (text.indexOf("\r\n0\r\n\r\n", Math.max(0, text.length() - 120)) >= 0) {
					break;
				}
				TimeUnit.MILLISECONDS.sleep(100);
			}
		}
		return text.toString();
	}

	private static void assertComplete(String response) {
		MessageDigest digest = Digests.newSha256();
		int expected = 0;
		for (Matcher token = TOKEN.matcher(response); token.find(); expected++) {
			assertThat(Integer.parseInt(token.group(1))).isEqualTo(expected);
			digest.update(token.group(2).getBytes(StandardCharsets.UTF_8));
		}
		assertThat(expected).isEqualTo(500);
		Matcher end = END.matcher(response);
		assertThat(end.find()).isTrue();
		assertThat(end.group(1)).isEqualTo(Digests.hex(digest.digest()));
		assertThat(response).contains("[DONE]");
	}

	private static long callerMemoryBytes(Installation installation) throws IOException, InterruptedException {
		return installation.state(installation.routers().getFirst()).path("held").path("bytes").asLong();
	}

	private static long residentKilobytes(Installation installation) throws IOException {
		Process router = installation.fleet().process(installation.routers().getFirst().vm());
		return Files.readAllLines(Path.of("/proc/" + router.pid() + "/status"))
			.stream()
			.filter((line) -> line.startsWith("VmRSS:"))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")))
			.findFirst()
			.orElseThrow();
	}

}
