package org.laburnumarch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against decision code that depends on I/O or clocks, so that it could not be replayed from
 * a seed.
 */
class ArchitectureTest {

  private static final String INTERNAL = "org.laburnumarch.internal.";

  private static final String[] DECISION_PACKAGES = {
    INTERNAL + "state..",
    INTERNAL + "text..",
    INTERNAL + "log..",
    INTERNAL + "membership..",
    INTERNAL + "limit..",
    INTERNAL + "queue..",
    INTERNAL + "runtime..",
    INTERNAL + "routing..",
    INTERNAL + "fleet..",
    INTERNAL + "task..",
    INTERNAL + "hash..",
    INTERNAL + "pacing..",
    INTERNAL + "forecast..",
    INTERNAL + "share..",
    INTERNAL + "admission..",
  };

  private static final JavaClasses PRODUCTION =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.laburnumarch");

  @Nested
  class Decisions {

    @Test
    void shouldNotUseNetworkOrFiles() {
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.servicetalk..",
              "io.netty..",
              "java.net..",
              "java.nio.file..",
              "java.nio.channels..")
          .allowEmptyShould(true)
          .check(PRODUCTION);
    }

    @Test
    void shouldNotReadClocksOrStartThreads() {
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class)
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.util.concurrent.Executors")
          .allowEmptyShould(true)
          .check(PRODUCTION);
    }

    @Test
    void shouldNotUseUnseededRandomNumbers() {
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.util.Random")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.util.concurrent.ThreadLocalRandom")
          .allowEmptyShould(true)
          .check(PRODUCTION);
    }
  }

  /** The decision code for the users' platform; it may use socket addresses, but only as values. */
  @Nested
  class PlatformDecisions {

    private final String[] packages = {
      INTERNAL + "job..",
      INTERNAL + "schedule..",
      INTERNAL + "runtime..",
      INTERNAL + "pool..",
      INTERNAL + "lead..",
      INTERNAL + "share..",
      INTERNAL + "admission..",
    };

    @Test
    void shouldNotUseNetworkOrFiles() {
      noClasses()
          .that()
          .resideInAnyPackage(packages)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.servicetalk..", "io.netty..", "java.nio.file..", "java.nio.channels..")
          .check(PRODUCTION);
    }

    @Test
    void shouldNotReadClocksOrStartThreads() {
      noClasses()
          .that()
          .resideInAnyPackage(packages)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class)
          .check(PRODUCTION);
    }

    @Test
    void shouldNotDependOnThePlatformAdapter() {
      noClasses()
          .that()
          .resideInAnyPackage(packages)
          .should()
          .dependOnClassesThat()
          .resideInAPackage(INTERNAL + "platform..")
          .check(PRODUCTION);
    }
  }

  @Nested
  class PublicPackages {

    @Test
    void shouldNotExposeInternalTypesOfThePlatform() {
      noClasses()
          .that()
          .resideInAPackage("org.laburnumarch.spi")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.laburnumarch.internal..")
          .check(PRODUCTION);
    }

    @Test
    void shouldKeepEverythingElseInternal() {
      classes()
          .should()
          .resideInAnyPackage(
              "org.laburnumarch", "org.laburnumarch.spi", "org.laburnumarch.internal..")
          .check(PRODUCTION);
    }
  }
}
