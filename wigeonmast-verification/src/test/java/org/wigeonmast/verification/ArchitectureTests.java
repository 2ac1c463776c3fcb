package org.wigeonmast.verification;

import java.util.List;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.Component;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/**
 * Holds the direction of dependencies and the absence of I/O in decisions.
 */
class ArchitectureTests {

	private static final String ROOT = "org.wigeonmast.";

	/** The slices in the order in which a later one may use an earlier one. */
	private static final List<String> ORDER = List.of("core", "settings", "manifest", "membership", "health",
			"dispatch", "limit", "wire", "proxy", "admin", "daemon", "cli", "bench");

	private final JavaClasses product = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("org.wigeonmast");

	// Guards against cycles between slices and against decisions that know the shells
	// around them.
	@Test
	void slicesUseEarlierSlicesOnly() {
		for (int index = 0; index < ORDER.size() - 1; index++) {
			String[] later = ORDER.subList(index + 1, ORDER.size())
				.stream()
				.map((slice) -> ROOT + slice + "..")
				.toArray(String[]::new);
			noClasses().that()
				.resideInAPackage(ROOT + ORDER.get(index) + "..")
				.should()
				.dependOnClassesThat()
				.resideInAnyPackage(later)
				.check(this.product);
		}
	}

	// Guards against a decision that depends on real time, threads or the network and
	// cannot be replayed.
	@Test
	void componentsDoNoInputOrOutput() {
		classes().that()
			.implement(Component.class)
			.should()
			.onlyDependOnClassesThat()
			.resideOutsideOfPackages("java.net..", "java.nio.channels..", "java.io..", "java.util.concurrent..",
					"io.netty..", "okhttp3..")
			.check(this.product);
		noClasses().that()
			.implement(Component.class)
			.should()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.dependOnClassesThat()
			.areAssignableTo(Thread.class)
			.check(this.product);
	}

	// Guards against fakes that reach the product.
	@Test
	void productDoesNotUseFakes() {
		noClasses().that()
			.resideInAnyPackage(ORDER.subList(0, ORDER.indexOf("bench"))
				.stream()
				.map((slice) -> ROOT + slice + "..")
				.toArray(String[]::new))
			.should()
			.dependOnClassesThat()
			.resideInAPackage(ROOT + "testing..")
			.check(this.product);
	}

}
