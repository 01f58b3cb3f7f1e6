package org.jaywood.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.HttpStatus;

import org.jaywood.feed.FeedException;
import org.jaywood.http.BufferedResponse;
import org.jaywood.metering.ProcessCounts;
import org.jaywood.metering.UsageCountStore;
import org.jaywood.platform.StorePage.RawObject;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Json;

/**
 * Counts of gateways as objects of the platform's store, one for each VM.
 */
final class StoreUsageCounts implements UsageCountStore {

	private static final String KIND = "usage-counts";

	private final MetadataStoreClient store;

	private final String vm;

	/**
	 * Creates the adapter.
	 * @param vm name of the VM of this process
	 */
	StoreUsageCounts(MetadataStoreClient store, String vm) {
		this.store = store;
		this.vm = vm;
	}

	@Override
	public Stored readOwn() throws IOException {
		BufferedResponse response = this.store.readObject(KIND, this.vm, false);
		if (response.status() == HttpStatus.SC_NOT_FOUND) {
			return new Stored(List.of(), NO_REVISION);
		}
		if (!response.ok()) {
			throw new IOException("read of " + KIND + "/" + this.vm + ": status " + response.status());
		}
		JsonNode object = tree(response);
		try {
			return new Stored(decode(object.path("Spec")), revision(object));
		}
		catch (NumberFormatException ex) {
			// Written by another program; the next write replaces it.
			return new Stored(List.of(), revision(object));
		}
	}

	@Override
	public long write(List<ProcessCounts> counts, long revision) throws IOException {
		ProcessCounts own = counts.getFirst();
		ObjectNode spec = encode(own);
		ArrayNode others = spec.putArray("Others");
		counts.stream().skip(1).map(StoreUsageCounts::encode).forEach(others::add);
		BufferedResponse response = (revision == NO_REVISION) ? this.store.createObject(KIND, this.vm, spec)
				: this.store.replaceObject(KIND, this.vm, spec, revision);
		if (!response.ok() && response.status() != HttpStatus.SC_CREATED) {
			throw new IOException("write of " + KIND + "/" + this.vm + ": status " + response.status());
		}
		return revision(tree(response));
	}

	private static ObjectNode encode(ProcessCounts counts) {
		ObjectNode node = Json.mapper().createObjectNode().put("Process", counts.process());
		node.set("Windows", Json.mapper().valueToTree(counts.windows()));
		return node;
	}

	private static JsonNode tree(BufferedResponse response) throws IOException {
		try {
			return Json.tree(response.body());
		}
		catch (BadInputException ex) {
			throw new IOException("malformed object of " + KIND + ": " + ex.getMessage(), ex);
		}
	}

	private static long revision(JsonNode object) throws IOException {
		JsonNode revision = object.path("Metadata").path("Revision");
		if (!revision.isIntegralNumber()) {
			throw new IOException("object of " + KIND + " without a revision");
		}
		return revision.asLong();
	}

	@Override
	public List<ProcessCounts> readAll() throws IOException {
		List<ProcessCounts> counts = new ArrayList<>();
		try {
			StorePage page = this.store.list(KIND, "");
			addAll(page, counts);
			while (page.hasMore() && !page.objects().isEmpty()) {
				page = this.store.list(KIND, page.objects().getLast().name());
				addAll(page, counts);
			}
			return counts;
		}
		catch (FeedException ex) {
			throw new IOException(ex.getMessage(), ex);
		}
	}

	private static void addAll(StorePage page, List<ProcessCounts> counts) {
		for (RawObject object : page.objects()) {
			try {
				counts.addAll(decode(object.content().tree().path("Spec")));
			}
			catch (RuntimeException ex) {
				// Written by another program or cut; the counts of the others are valid.
			}
		}
	}

	private static List<ProcessCounts> decode(JsonNode spec) {
		List<ProcessCounts> counts = new ArrayList<>();
		counts.add(decodeProcess(spec));
		spec.path("Others").forEach((other) -> counts.add(decodeProcess(other)));
		return counts;
	}

	private static ProcessCounts decodeProcess(JsonNode spec) {
		Map<Long, Map<String, Long>> windows = new HashMap<>();
		spec.path("Windows").properties().forEach((window) -> {
			Map<String, Long> counts = new HashMap<>();
			window.getValue().properties().forEach((entry) -> counts.put(entry.getKey(), entry.getValue().asLong()));
			windows.put(Long.parseLong(window.getKey()), counts);
		});
		return new ProcessCounts(spec.path("Process").asText(), windows);
	}

}
