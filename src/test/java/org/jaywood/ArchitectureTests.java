package org.jaywood;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards the layers of docs/design.md section 3 and the rule that only bench starts
 * processes.
 */
class ArchitectureTests {

	private static final JavaClasses CLASSES = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.jaywood");

	@Nested
	class Layers {

		@Test
		void dependenciesPointDown() {
			ArchRule rule = Architectures.layeredArchitecture()
				.consideringOnlyDependenciesInLayers()
				.layer("cli")
				.definedBy("org.jaywood.cli..")
				.layer("bench")
				.definedBy("org.jaywood.bench..")
				.layer("standin")
				.definedBy("org.jaywood.standin..")
				.layer("router")
				.definedBy("org.jaywood.router..")
				.layer("agent")
				.definedBy("org.jaywood.agent..")
				.layer("weights")
				.definedBy("org.jaywood.weights..")
				.layer("peer")
				.definedBy("org.jaywood.peer..")
				.layer("config")
				.definedBy("org.jaywood.config..")
				.layer("store")
				.definedBy("org.jaywood.store..")
				.layer("wire")
				.definedBy("org.jaywood.wire..")
				.layer("event")
				.definedBy("org.jaywood.event..")
				.layer("http")
				.definedBy("org.jaywood.http..")
				.layer("feed")
				.definedBy("org.jaywood.feed..")
				.layer("routing")
				.definedBy("org.jaywood.routing..")
				.layer("leader")
				.definedBy("org.jaywood.leader..")
				.layer("metering")
				.definedBy("org.jaywood.metering..")
				.layer("scaling")
				.definedBy("org.jaywood.scaling..")
				.layer("gateway")
				.definedBy("org.jaywood.gateway..")
				.layer("replica")
				.definedBy("org.jaywood.replica..")
				.layer("platform")
				.definedBy("org.jaywood.platform..")
				.whereLayer("cli")
				.mayNotBeAccessedByAnyLayer()
				.whereLayer("platform")
				.mayOnlyBeAccessedByLayers("cli")
				.whereLayer("gateway")
				.mayOnlyBeAccessedByLayers("cli", "platform")
				.whereLayer("replica")
				.mayOnlyBeAccessedByLayers("cli", "platform")
				.whereLayer("routing")
				.mayOnlyBeAccessedByLayers("cli", "platform", "gateway", "replica", "router", "scaling")
				.whereLayer("feed")
				.mayOnlyBeAccessedByLayers("cli", "platform", "gateway", "replica", "routing")
				.whereLayer("http")
				.mayOnlyBeAccessedByLayers("cli", "platform", "gateway", "replica", "routing", "wire")
				.whereLayer("leader")
				.mayOnlyBeAccessedByLayers("cli", "platform", "gateway", "metering", "scaling")
				.whereLayer("metering")
				.mayOnlyBeAccessedByLayers("cli", "platform", "gateway")
				.whereLayer("scaling")
				.mayOnlyBeAccessedByLayers("platform", "gateway")
				.whereLayer("bench")
				.mayOnlyBeAccessedByLayers("cli")
				.whereLayer("standin")
				.mayOnlyBeAccessedByLayers("cli", "bench")
				.whereLayer("router")
				.mayOnlyBeAccessedByLayers("cli", "bench")
				.whereLayer("agent")
				.mayOnlyBeAccessedByLayers("cli", "bench")
				.whereLayer("weights")
				.mayOnlyBeAccessedByLayers("cli", "bench", "standin", "agent")
				.whereLayer("peer")
				.mayOnlyBeAccessedByLayers("cli", "bench", "router", "agent", "weights", "gateway")
				.whereLayer("config")
				.mayOnlyBeAccessedByLayers("cli", "bench", "router", "agent", "weights", "peer")
				.whereLayer("store")
				.mayOnlyBeAccessedByLayers("cli", "bench", "router", "agent", "weights", "peer", "config");
			rule.check(CLASSES);
		}

		@Test
		void standinsKnowOnlyTheManifestOfTheWeights() {
			DescribedPredicate<JavaClass> otherWeights = DescribedPredicate.describe("weights but the manifest",
					(type) -> type.getPackageName().equals("org.jaywood.weights")
							&& !type.getSimpleName().equals("Manifest"));
			ArchRuleDefinition.noClasses()
				.that()
				.resideInAPackage("org.jaywood.standin..")
				.should()
				.dependOnClassesThat(otherWeights)
				.check(CLASSES);
		}

	}

	@Nested
	class Decisions {

		@Test
		void routingUsesNoNetwork() {
			ArchRuleDefinition.noClasses()
				.that()
				.resideInAPackage("org.jaywood.routing..")
				.should()
				.dependOnClassesThat()
				.resideInAnyPackage("java.net..", "org.apache.hc..", "com.sun.net..")
				.check(CLASSES);
		}

		@Test
		void leaderTasksUseNeitherNetworkNorClock() {
			ArchRuleDefinition.noClasses()
				.that()
				.resideInAnyPackage("org.jaywood.leader..", "org.jaywood.metering..", "org.jaywood.scaling..")
				.should()
				.dependOnClassesThat()
				.resideInAnyPackage("java.net..", "org.apache.hc..", "com.sun.net..", "java.time..",
						"org.jaywood.http..", "org.jaywood.feed..")
				.orShould()
				.callMethod(System.class, "currentTimeMillis")
				.orShould()
				.callMethod(System.class, "nanoTime")
				.check(CLASSES);
		}

	}

	@Nested
	class Processes {

		@Test
		void onlyBenchStartsProcesses() {
			ArchRuleDefinition.noClasses()
				.that()
				.resideOutsideOfPackage("org.jaywood.bench..")
				.should()
				.dependOnClassesThat()
				.areAssignableTo(ProcessBuilder.class)
				.check(CLASSES);
		}

	}

}
