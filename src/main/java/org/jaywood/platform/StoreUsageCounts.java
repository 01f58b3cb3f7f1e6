package org.jaywood.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.core5.http.HttpStatus;

import org.jaywood.feed.FeedException;
import org.jaywood.http.BufferedResponse;
import org.jaywood.metering.ProcessCounts;
import org.jaywood.metering.UsageCountStore;
import org.jaywood.platform.StorePage.RawObject;
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
	public void write(ProcessCounts counts) throws IOException {
		JsonNode spec = Json.mapper().valueToTree(Map.of("Process", counts.process(), "Windows", counts.windows()));
		BufferedResponse response = this.store.replaceObject(KIND, this.vm, spec);
		if (response.status() == HttpStatus.SC_NOT_FOUND) {
			response = this.store.createObject(KIND, this.vm, spec);
		}
		if (!response.ok() && response.status() != HttpStatus.SC_CREATED) {
			throw new IOException("write of " + KIND + "/" + this.vm + ": status " + response.status());
		}
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
				counts.add(decode(object.content().tree().path("Spec")));
			}
			catch (RuntimeException ex) {
				// Written by another program or cut; the counts of the others are valid.
			}
		}
	}

	private static ProcessCounts decode(JsonNode spec) {
		Map<Long, Map<String, Long>> windows = new HashMap<>();
		spec.path("Windows").properties().forEach((window) -> {
			Map<String, Long> counts = new HashMap<>();
			window.getValue().properties().forEach((entry) -> counts.put(entry.getKey(), entry.getValue().asLong()));
			windows.put(Long.parseLong(window.getKey()), counts);
		});
		return new ProcessCounts(spec.path("Process").asText(), windows);
	}

}
