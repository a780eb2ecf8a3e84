package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The operators read the module aloud: its length and its lines are bounded. */
class SourceLinesTest {
  private static final Path SOURCES = Path.of("src/main/java");

  @Test
  void theModuleIsShortEnough() throws IOException {
    List<String> lines =
        Files.readAllLines(SOURCES.resolve("slateslip/loadbalancer/DefaultLoadBalancer.java"));
    long written = lines.stream().filter(l -> !l.isBlank()).count();
    assertTrue(written < 1200, written + " lines");
    assertTrue(
        lines.get(0).contains("LoadBalancer.java"), "the first line names the interface file");
  }

  @Test
  void noLineIsTooLong() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      // What a generator wrote is committed as it came; its folders are named so, and hold nothing
      // else.
      for (Path file :
          files.filter(f -> f.toString().endsWith(".java")).filter(f -> !generated(f)).toList()) {
        int n = 0;
        for (String line : Files.readAllLines(file)) {
          n++;
          assertTrue(line.length() <= 110, file + ":" + n);
        }
      }
    }
  }

  @Test
  void foldersOfGeneratedCodeHoldGeneratedCodeAlone() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file :
          files
              .filter(f -> f.toString().endsWith(".java"))
              .filter(SourceLinesTest::generated)
              .toList()) {
        assertTrue(Files.readString(file).startsWith("/* Generated SBE"), file.toString());
      }
    }
  }

  private static boolean generated(Path file) {
    return file.getParent().getFileName().toString().equals("generated");
  }
}
