package org.jaywood.config;

import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Parser and validator of deployment files in YAML. It reports all errors at once, each
 * with its line and path, so that an operator can correct a file in one pass.
 */
public final class DeploymentParser {

	/**
	 * Largest size of a file. The stored object contains the file as JSON and must stay
	 * below a megabyte.
	 */
	public static final int MAX_FILE_BYTES = 512 * 1024;

	private static final int MAX_NESTING_DEPTH = 16;

	private static final int MAX_ALIASES = 16;

	private static final Set<String> ROOT_FIELDS = Set.of("dataCentres", "services", "workspaces");

	private static final Pattern REGION = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

	private static final String REGION_EXPECTED = "a region of 1 to 63 lower-case letters, digits and inner hyphens";

	/**
	 * Parses and validates a deployment.
	 * @param yaml content of the file
	 * @return a valid deployment
	 * @throws InvalidDeploymentException with all errors of the file
	 */
	public Deployment parse(byte[] yaml) {
		if (yaml.length > MAX_FILE_BYTES) {
			throw fileError(1, "file of " + yaml.length + " bytes is too large: at most " + MAX_FILE_BYTES);
		}
		Node root = compose(decode(yaml));
		ErrorCollector errors = new ErrorCollector();
		Deployment deployment = read(new YamlField(root, root.getStartMark(), "", errors));
		errors.throwIfAny();
		return deployment;
	}

	private static String decode(byte[] yaml) {
		try {
			return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(yaml)).toString();
		}
		catch (CharacterCodingException ex) {
			throw fileError(1, "file is not UTF-8 text");
		}
	}

	private static Node compose(String text) {
		LoaderOptions options = new LoaderOptions();
		options.setNestingDepthLimit(MAX_NESTING_DEPTH);
		options.setMaxAliasesForCollections(MAX_ALIASES);
		options.setCodePointLimit(MAX_FILE_BYTES);
		try {
			Node root = new Yaml(options).compose(new StringReader(text));
			if (root == null) {
				throw fileError(1, "file is empty: expected dataCentres, services and workspaces");
			}
			return root;
		}
		catch (MarkedYAMLException ex) {
			Mark mark = ex.getProblemMark();
			throw fileError((mark != null) ? mark.getLine() + 1 : 1, "not valid YAML: " + ex.getProblem());
		}
		catch (YAMLException ex) {
			throw fileError(1, "not valid YAML: " + String.valueOf(ex.getMessage()).lines().findFirst().orElse(""));
		}
	}

	private static InvalidDeploymentException fileError(int line, String message) {
		return new InvalidDeploymentException(List.of(new DeploymentError(line, "", message)));
	}

	private static Deployment read(YamlField file) {
		Optional<YamlMapping> mapping = file.mapping();
		if (mapping.isEmpty()) {
			return Deployment.EMPTY;
		}
		YamlMapping root = mapping.get().allowOnly(ROOT_FIELDS);
		YamlField centresField = root.required("dataCentres", "at least one data centre");
		NamedEntries<DataCentre> centres = NamedEntries.read(centresField, DeploymentParser::dataCentre);
		if (centresField != null && centres.names().isEmpty()) {
			centresField.addError("no data centre: expected at least one");
		}
		ServiceReader services = new ServiceReader(centres.names());
		return new Deployment(centres.values(), NamedEntries.read(root.field("services"), services::read).values(),
				NamedEntries.read(root.field("workspaces"), DeploymentParser::workspace).values());
	}

	private static Optional<DataCentre> dataCentre(YamlField field) {
		return field.mapping().flatMap((raw) -> {
			YamlMapping mapping = raw.allowOnly(Set.of("region", "inService"));
			Optional<String> region = Optional.ofNullable(mapping.required("region", REGION_EXPECTED))
				.flatMap((value) -> value.text(REGION, REGION_EXPECTED));
			Optional<Boolean> inService = readOrDefault(mapping, "inService", YamlField::bool, true);
			return region.flatMap((name) -> inService.map((accepts) -> new DataCentre(name, accepts)));
		});
	}

	private static Optional<WorkspaceSpec> workspace(YamlField field) {
		return field.mapping()
			.map((mapping) -> mapping.allowOnly(Set.of("share")))
			.flatMap((mapping) -> Optional.ofNullable(mapping.required("share", "a whole number of at least 1")))
			.flatMap((share) -> share.number(1, 1_000_000))
			.map((share) -> new WorkspaceSpec(share.intValue()));
	}

	static <T> Optional<T> readOrDefault(YamlMapping mapping, String name, Function<YamlField, Optional<T>> reader,
			T defaultValue) {
		YamlField field = mapping.field(name);
		return (field != null) ? reader.apply(field) : Optional.of(defaultValue);
	}

}
