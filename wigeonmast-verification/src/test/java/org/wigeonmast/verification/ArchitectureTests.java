package org.wigeonmast.verification;

import java.util.List;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.Component;

/** Checks the order of the modules and what components may use. */
class ArchitectureTests {

	private static final String ROOT = "org.wigeonmast.";

	/** The modules in the order of section 2.1 of the design page. */
	private static final List<String> MODULES = List.of("core", "testing", "settings", "manifest", "membership",
			"health", "dispatch", "limit", "wire", "balance", "proxy", "admin", "daemon", "platform", "cli", "bench");

	private static final String[] COMPONENT_PACKAGES = { within("membership"), within("health"), within("dispatch"),
			within("limit"), within("balance"), ROOT + "manifest.follow.." };

	private static final JavaClasses CLASSES = new ClassFileImporter().withImportOption(new ProductClasses())
		.importPackages("org.wigeonmast");

	/** Guards against cycles and against dependencies that the design does not have. */
	@Test
	void modulesDependOnEarlierModulesOnly() {
		for (int index = 0; index < MODULES.size(); index++) {
			String[] later = MODULES.subList(index + 1, MODULES.size())
				.stream()
				.map(ArchitectureTests::within)
				.toArray(String[]::new);
			if (later.length > 0) {
				ArchRuleDefinition.noClasses()
					.that()
					.resideInAPackage(within(MODULES.get(index)))
					.should()
					.dependOnClassesThat()
					.resideInAnyPackage(later)
					.allowEmptyShould(true)
					.check(CLASSES);
			}
		}
	}

	/**
	 * Guards against I/O, threads and wall clocks in decisions, which would not replay.
	 */
	@Test
	void componentsUseNoInputOutputThreadsOrClocks() {
		ArchRuleDefinition.classes()
			.that()
			.areAssignableTo(Component.class)
			.and()
			.areNotInterfaces()
			.and()
			// Benches hold rejected alternatives for comparison, which the product does
			// not contain.
			.resideOutsideOfPackage(within("bench"))
			.should()
			.resideInAnyPackage(COMPONENT_PACKAGES)
			.check(CLASSES);
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(COMPONENT_PACKAGES)
			.should()
			.dependOnClassesThat(forbidden())
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.check(CLASSES);
	}

	/** Guards against modules that use what other modules keep to themselves. */
	@Test
	void internalPackagesAreUsedByTheirOwnModuleOnly() {
		for (String module : MODULES) {
			ArchRuleDefinition.noClasses()
				.that()
				.resideOutsideOfPackage(within(module))
				.should()
				.dependOnClassesThat()
				.resideInAPackage(ROOT + module + ".internal..")
				.allowEmptyShould(true)
				.check(CLASSES);
		}
	}

	private static DescribedPredicate<JavaClass> forbidden() {
		return DescribedPredicate.describe("sockets, channels or threads",
				(type) -> type.getPackageName().equals("java.net")
						|| type.getPackageName().startsWith("java.nio.channels") || type.isAssignableTo(Thread.class)
						|| type.getName().startsWith("java.util.concurrent.Exec"));
	}

	private static String within(String module) {
		return ROOT + module + "..";
	}

}
