package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateslip.cli.CommandLine;

/** Tests the data plane program in a separate process. */
class DataPlaneMainTest {
  private static final int FAILURE = 1;

  @TempDir private Path folder;

  @Test
  void failedStartEndsWithAFailureExitStatus() throws IOException, InterruptedException {
    try (ServerSocket portInUse = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Path settings = Files.writeString(folder.resolve("edge.conf"), settings(portInUse));
      ProcessBuilder builder =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  DataPlaneMain.class.getName())
              .redirectErrorStream(true);
      builder.environment().put(CommandLine.SETTINGS_VARIABLE, settings.toString());
      Process process = builder.start();
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(output, containsString("cannot start"));
      assertThat(process.waitFor(), is(FAILURE));
    }
  }

  private static String settings(ServerSocket portInUse) {
    return String.join(
        "\n",
        "node=edge-1",
        "ip=127.0.0.1",
        "zone=z",
        "listen.front=127.0.0.1:" + portInUse.getLocalPort(),
        "listen.ready=127.0.0.1:0",
        "port_range=20000,20010",
        "seed_nodes=127.0.0.1:1",
        "bounds.grace_period_s=2");
  }
}
