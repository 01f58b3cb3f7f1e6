package org.jaywood.config;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reader of the services in a deployment file.
 */
final class ServiceReader {

	private static final Pattern KIND = Pattern.compile("model|plain", Pattern.CASE_INSENSITIVE);

	private static final Pattern LABEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

	private static final String LABEL_EXPECTED = "1 to 64 letters, digits, dots, hyphens and underscores";

	private static final Pattern MANIFEST_DIGEST = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern ANY_TEXT = Pattern.compile(".*", Pattern.DOTALL);

	private static final long MAX_SURGE_UPSTREAMS = 10_000;

	private static final long MAX_DEADLINE_MILLIS = 24 * 60 * 60 * 1000L;

	private static final long MAX_BODY_BYTES = 64 * 1024 * 1024;

	private final Set<String> dataCentres;

	ServiceReader(Set<String> dataCentres) {
		this.dataCentres = dataCentres;
	}

	Optional<ServiceSpec> read(YamlField service) {
		return service.mapping().flatMap((raw) -> {
			YamlMapping mapping = raw.allowOnly(Set.of("kind", "weights", "dataCentres", "limits"));
			Optional<ServiceKind> kind = Optional.ofNullable(mapping.required("kind", "model or plain"))
				.flatMap((field) -> field.text(KIND, "model or plain"))
				.map((text) -> ServiceKind.valueOf(text.toUpperCase(Locale.ROOT)));
			List<WeightsRef> weights = weights(service, mapping, kind);
			List<String> centres = dataCentres(service, mapping);
			Optional<ServiceLimits> limits = DeploymentParser.readOrDefault(mapping, "limits", ServiceReader::limits,
					ServiceLimits.DEFAULT);
			return kind
				.flatMap((knownKind) -> limits.map((limit) -> new ServiceSpec(knownKind, weights, centres, limit)));
		});
	}

	private static List<WeightsRef> weights(YamlField service, YamlMapping mapping, Optional<ServiceKind> kind) {
		YamlField field = mapping.field("weights");
		Optional<List<YamlField>> list = Optional.ofNullable(field).flatMap(YamlField::list);
		List<YamlField> items = list.orElse(List.of());
		boolean model = kind.filter((value) -> value == ServiceKind.MODEL).isPresent();
		if (model && field == null) {
			service.addError("model service without weights: expected at least one entry in 'weights'");
		}
		else if (model && field != null && list.filter(List::isEmpty).isPresent()) {
			field.addError("model service without weights: expected at least one entry");
		}
		if (kind.filter((value) -> value == ServiceKind.PLAIN).isPresent() && field != null && !items.isEmpty()) {
			field.addError("a plain service has no weights");
		}
		return items.stream().map(ServiceReader::weightsRef).flatMap(Optional::stream).toList();
	}

	private static Optional<WeightsRef> weightsRef(YamlField item) {
		return item.mapping().flatMap((raw) -> {
			YamlMapping mapping = raw.allowOnly(Set.of("name", "version", "manifest"));
			Optional<String> name = Optional.ofNullable(mapping.required("name", LABEL_EXPECTED))
				.flatMap((field) -> field.text(LABEL, LABEL_EXPECTED));
			Optional<String> version = Optional.ofNullable(mapping.required("version", LABEL_EXPECTED))
				.flatMap((field) -> field.text(LABEL, LABEL_EXPECTED));
			Optional<String> manifest = Optional.ofNullable(mapping.required("manifest", "64 lower-case hex digits"))
				.flatMap((field) -> field.text(MANIFEST_DIGEST, "64 lower-case hex digits"));
			return name.flatMap((knownName) -> version
				.flatMap((knownVersion) -> manifest.map((digest) -> new WeightsRef(knownName, knownVersion, digest))));
		});
	}

	private List<String> dataCentres(YamlField service, YamlMapping mapping) {
		YamlField field = mapping.field("dataCentres");
		if (field == null) {
			service.addError("service without data centres: expected at least one in 'dataCentres'");
			return List.of();
		}
		Optional<List<YamlField>> items = field.list();
		if (items.filter(List::isEmpty).isPresent()) {
			field.addError("service without data centres: expected at least one");
		}
		Set<String> seen = new HashSet<>();
		return items.orElse(List.of())
			.stream()
			.map((item) -> dataCentre(item, seen))
			.flatMap(Optional::stream)
			.toList();
	}

	private Optional<String> dataCentre(YamlField item, Set<String> seen) {
		Optional<String> name = item.text(ANY_TEXT, "the name of a data centre");
		name.ifPresent((knownName) -> {
			if (!this.dataCentres.contains(knownName)) {
				item.addError("unknown data centre '" + knownName + "', declared are "
						+ this.dataCentres.stream().sorted().toList());
			}
			else if (!seen.add(knownName)) {
				item.addError("data centre '" + knownName + "' is listed twice");
			}
		});
		return name;
	}

	private static Optional<ServiceLimits> limits(YamlField field) {
		return field.mapping().flatMap((raw) -> {
			YamlMapping mapping = raw.allowOnly(Set.of("surge", "deadlineMillis", "bodyBytes"));
			Optional<Long> surge = limit(mapping, "surge", MAX_SURGE_UPSTREAMS, ServiceLimits.DEFAULT.surge());
			Optional<Long> deadline = limit(mapping, "deadlineMillis", MAX_DEADLINE_MILLIS,
					ServiceLimits.DEFAULT.deadlineMillis());
			Optional<Long> body = limit(mapping, "bodyBytes", MAX_BODY_BYTES, ServiceLimits.DEFAULT.bodyBytes());
			return surge.flatMap((upstreams) -> deadline.flatMap((millis) -> body
				.map((bytes) -> new ServiceLimits(upstreams.intValue(), millis, bytes.intValue()))));
		});
	}

	private static Optional<Long> limit(YamlMapping mapping, String name, long max, long defaultValue) {
		return DeploymentParser.readOrDefault(mapping, name, (field) -> field.number(1, max), defaultValue);
	}

}
