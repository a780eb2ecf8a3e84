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
 * Checks the policy files that {@code deploy/balancer.toml} names: each exists and is short enough
 * to be read in one go. The users withdrew the limit on the total length of these files.
 */
class PolicyFilesTest {
  private static final int MAX_LINES = 400;
  private static final Pattern POLICY = Pattern.compile("(?m)^policy = \\[(.*)]$");

  private static List<Path> policyFiles() throws IOException {
    Matcher policy = POLICY.matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertTrue(policy.find(), "deploy/balancer.toml has no line \"policy = [...]\"");
    return Pattern.compile("\"([^\"]+)\"")
        .matcher(policy.group(1))
        .results()
        .map(file -> Path.of(file.group(1)))
        .toList();
  }

  @Test
  void everyPolicyFileExistsAndHasAtMostFourHundredLines() throws IOException {
    for (Path file : policyFiles()) {
      assertTrue(Files.exists(file), file + " is missing");
      int lines = Files.readAllLines(file).size();
      assertTrue(lines <= MAX_LINES, file + " has " + lines + " lines");
    }
  }

  @Test
  void loadBalancerIsNamedAndNoFileIsNamedTwice() throws IOException {
    List<Path> policyFiles = policyFiles();
    assertTrue(
        policyFiles.contains(
            Path.of("src/main/java/slateslip/loadbalancer/DefaultLoadBalancer.java")),
        policyFiles.toString());
    assertFalse(
        policyFiles.stream().distinct().count() < policyFiles.size(),
        "duplicate file in " + policyFiles);
  }
}
