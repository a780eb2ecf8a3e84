package slateslip.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.EvaluationResult;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The arrows between packages that docs/DESIGN.md draws, and what decisions keep away from. */
final class ArchitectureTest {
  private static final String ROOT = "slateslip.";

  /** For each package of the fleet, the other packages that it may use. */
  private static final Map<String, Set<String>> MAY_USE =
      Map.ofEntries(
          Map.entry("configuration", Set.of()),
          Map.entry("settings", Set.of()),
          Map.entry("logging", Set.of()),
          Map.entry("eventloop", Set.of()),
          Map.entry("loadbalancer", Set.of()),
          Map.entry("coordination", Set.of()),
          Map.entry("storage", Set.of()),
          Map.entry("distribution", Set.of("configuration")),
          Map.entry("protocol", Set.of("configuration", "coordination", "distribution")),
          Map.entry("routing", Set.of("configuration", "distribution", "loadbalancer")),
          Map.entry("experiment", Set.of("configuration", "distribution", "routing", "simulation")),
          Map.entry("standin", Set.of("eventloop", "routing", "simulation")),
          Map.entry("soak", Set.of("routing", "standin")),
          Map.entry("cli", Set.of("configuration", "settings", "logging")),
          Map.entry(
              "dataplane",
              Set.of(
                  "configuration",
                  "settings",
                  "logging",
                  "eventloop",
                  "distribution",
                  "protocol",
                  "routing",
                  "cli",
                  "loadbalancer")),
          Map.entry(
              "controlplane",
              Set.of(
                  "configuration",
                  "settings",
                  "logging",
                  "eventloop",
                  "coordination",
                  "storage",
                  "distribution",
                  "protocol",
                  "cli")),
          Map.entry(
              "simulation",
              Set.of(
                  "configuration",
                  "settings",
                  "logging",
                  "coordination",
                  "storage",
                  "distribution",
                  "protocol",
                  "routing",
                  "dataplane",
                  "controlplane",
                  "loadbalancer")));

  /** Packages of state machines: inputs -> outputs. */
  private static final List<String> DECISIONS =
      List.of(
          "configuration",
          "controlplane.agent",
          "controlplane.state",
          "coordination",
          "distribution",
          "routing",
          "simulation.dataplane",
          "simulation.engine");

  private static final JavaClasses FLEET =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("slateslip");

  @Test
  void arrowsGoOneWay() {
    for (Map.Entry<String, Set<String>> entry : MAY_USE.entrySet()) {
      ArchRule rule =
          noClasses()
              .that()
              .resideInAPackage(ROOT + entry.getKey() + "..")
              .should()
              .dependOnClassesThat(areOutside(entry.getKey(), entry.getValue()))
              .allowEmptyShould(true)
              .because("docs/DESIGN.md says what each package may use");
      rule.check(FLEET);
    }
  }

  @Test
  void everyPackageIsListed() {
    Set<String> found = new TreeSet<>();
    for (JavaClass type : FLEET) {
      found.add(packageOf(type));
    }
    assertThat(found, everyItem(is(in(MAY_USE.keySet()))));
  }

  @Test
  void decisionsUseNoSocketClockOrThread() {
    for (String decision : DECISIONS) {
      String packages = ROOT + decision + "..";
      useNoSocketFileOrThread(packages).check(FLEET);
      readNoClock(packages).check(FLEET);
    }
  }

  @Test
  void theRulesCanFail() {
    String fixture = "slateslip.architecture.fixture..";
    JavaClasses breaking = new ClassFileImporter().importPackages("slateslip.architecture.fixture");
    EvaluationResult sockets = useNoSocketFileOrThread(fixture).evaluate(breaking);
    assertThat(sockets.hasViolation(), is(true));
    EvaluationResult clocks = readNoClock(fixture).evaluate(breaking);
    assertThat(clocks.getFailureReport().toString(), containsString("nanoTime"));
    EvaluationResult arrows =
        noClasses()
            .that()
            .resideInAPackage("slateslip.cli..")
            .should()
            .dependOnClassesThat(areOutside("cli", Set.of("settings")))
            .evaluate(FLEET);
    assertThat(arrows.getFailureReport().toString(), containsString("configuration"));
  }

  private static ArchRule useNoSocketFileOrThread(String packages) {
    return noClasses()
        .that()
        .resideInAPackage(packages)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..",
            "java.nio.channels..",
            "java.nio.file..",
            "java.util.concurrent..",
            "io.netty..",
            "io.javalin..",
            "okhttp3..",
            "slateslip.loadbalancer.net..")
        .orShould()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.util.Timer.class, java.time.Clock.class)
        .allowEmptyShould(true)
        .because("state machines take inputs and return what to send, write and answer");
  }

  private static ArchRule readNoClock(String packages) {
    return noClasses()
        .that()
        .resideInAPackage(packages)
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(java.time.Instant.class, "now")
        .orShould()
        .callMethod(Math.class, "random")
        .allowEmptyShould(true)
        .because("time and chance are inputs");
  }

  private static DescribedPredicate<JavaClass> areOutside(String self, Set<String> allowed) {
    Set<String> inside = new HashSet<>(allowed);
    inside.add(self);
    return describe(
        "are in a package of the project other than " + inside,
        type -> isOfTheProject(type) && !inside.contains(packageOf(type)));
  }

  private static boolean isOfTheProject(JavaClass type) {
    return type.getPackageName().startsWith(ROOT);
  }

  private static String packageOf(JavaClass type) {
    String below = type.getPackageName().substring(ROOT.length());
    int end = below.indexOf('.');
    return end < 0 ? below : below.substring(0, end);
  }
}
