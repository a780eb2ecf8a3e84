package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Limits the length of the load balancer's main source file and of source lines, because the
 * operators read them aloud.
 */
class SourceLinesTest {
  private static final Path SOURCES = Path.of("src/main/java");

  @Test
  void loadBalancerSourceIsWithinLineLimit() throws IOException {
    List<String> lines =
        Files.readAllLines(SOURCES.resolve("slateslip/loadbalancer/DefaultLoadBalancer.java"));
    long nonBlankLines = lines.stream().filter(l -> !l.isBlank()).count();
    assertTrue(nonBlankLines < 1200, nonBlankLines + " lines");
    assertTrue(
        lines.get(0).contains("LoadBalancer.java"), "the first line names the interface file");
  }

  @Test
  void sourceLinesAreWithinColumnLimit() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      // Generated code is committed unchanged, in folders named "generated" that contain no other
      // code.
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
  void generatedFoldersContainOnlyGeneratedCode() throws IOException {
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
