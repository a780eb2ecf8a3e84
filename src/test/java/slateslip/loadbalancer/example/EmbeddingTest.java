package slateslip.loadbalancer.example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class EmbeddingTest {
  private static final String BEGIN = "  // README begins\n";

  @Test
  void exampleSendsRequestToServerInLocalZone() {
    Embedding host = new Embedding();
    Embedding.run(host);
    assertEquals(
        "send 1 to 7", host.did.stream().filter(d -> d.startsWith("send")).findFirst().orElse(""));
    assertTrue(host.did.stream().noneMatch(d -> d.startsWith("refuse") || d.startsWith("fail")));
  }

  @Test
  void readmeContainsTheCompiledExample() throws IOException {
    String source =
        Files.readString(Path.of("src/test/java/slateslip/loadbalancer/example/Embedding.java"));
    String block =
        source
            .substring(source.indexOf(BEGIN) + BEGIN.length(), source.indexOf("  // README ends"))
            .replaceAll("(?m)^ {2}", "")
            .stripTrailing();
    String readme = Files.readString(Path.of("README.md"));
    assertTrue(readme.contains("```java\n" + block + "\n```"), block);
  }
}
