package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * The files that the deploy file names as deciding: each exists and is short enough to be read at
 * once. The limit on all of them together was withdrawn by the users.
 */
class PolicyFilesTest {
  private static final int MAX_LINES = 400;
  private static final Pattern POLICY = Pattern.compile("(?m)^policy = \\[(.*)]$");

  private static List<Path> named() throws IOException {
    Matcher policy = POLICY.matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertTrue(policy.find(), "the deploy file names the policy in one line");
    return Pattern.compile("\"([^\"]+)\"")
        .matcher(policy.group(1))
        .results()
        .map(file -> Path.of(file.group(1)))
        .toList();
  }

  @Test
  void everyNamedFileExistsAndHasAtMostFourHundredLines() throws IOException {
    for (Path file : named()) {
      assertTrue(Files.exists(file), file + " is missing");
      int lines = Files.readAllLines(file).size();
      assertTrue(lines <= MAX_LINES, file + " has " + lines + " lines");
    }
  }

  @Test
  void theModuleItselfIsNamedAndNoneTwice() throws IOException {
    List<Path> named = named();
    assertTrue(
        named.contains(Path.of("src/main/java/slateslip/loadbalancer/DefaultLoadBalancer.java")),
        named.toString());
    assertFalse(named.stream().distinct().count() < named.size(), "twice in " + named);
  }
}
