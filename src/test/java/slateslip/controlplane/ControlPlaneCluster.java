package slateslip.controlplane;

import java.io.IOException;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import slateslip.settings.NodeSettings;
import slateslip.settings.SettingsOutcome;

/**
 * Runs control agents on loopback addresses with separate data directories, and sends HTTP requests
 * to them.
 */
final class ControlPlaneCluster implements AutoCloseable {
  /**
   * Limits the retries of a request, so that a test whose agents never become available ends. A
   * response with status 503 arrives within a millisecond.
   */
  private static final int MAX_CALL_ATTEMPTS = 20_000;

  private final List<ControlPlane> agents = new ArrayList<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private final Path folder;
  private final int size;
  private final int controlPort;
  private final int internalPort;

  /** Starts {@code size} agents; three or more agents tolerate the loss of one agent. */
  ControlPlaneCluster(Path folder, int size) throws IOException {
    this.folder = folder;
    this.size = size;
    controlPort = freePort();
    internalPort = freePort();
    for (int index = 0; index < size; index++) {
      agents.add(ControlPlane.start(settings(index, true)));
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  static String host(int index) {
    return "127.0.0." + (index + 1);
  }

  private NodeSettings settings(int index, boolean bootstrap) {
    List<String> seeds = new ArrayList<>();
    for (int seed = 0; seed < size; seed++) {
      seeds.add(host(seed) + ":" + controlPort);
    }
    String text =
        String.join(
            "\n",
            "node=core-" + index,
            "ip=" + host(index),
            "zone=z",
            "zones.z=r",
            "listen.control=" + host(index) + ":" + controlPort,
            "port_range=" + internalPort + "," + (internalPort + 1),
            "seed_nodes=" + String.join(",", seeds),
            "bootstrap=" + bootstrap,
            "counts_for_quorum=true",
            "data_dir=" + folder.resolve("disk-" + index),
            "heartbeat_ms=1200",
            "fault_tolerance.machines=" + (size > 2 ? 1 : 0));
    return ((SettingsOutcome.Valid) NodeSettings.parse(new StringReader(text))).settings();
  }

  /** Stops an agent. */
  void stop(int index) {
    agents.get(index).stop();
    agents.set(index, null);
  }

  /** Starts a stopped agent with the contents of its data directory. */
  void restart(int index) throws IOException {
    agents.set(index, ControlPlane.start(settings(index, false)));
  }

  /** Sends a request once; {@code ifMatch} and {@code body} may be null. */
  HttpResponse<String> call(int index, String method, String path, String ifMatch, String body)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + host(index) + ":" + controlPort + path))
            .method(method, body == null ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
    if (ifMatch != null) {
      request.header("If-Match", ifMatch);
    }
    return client.send(request.build(), BodyHandlers.ofString());
  }

  /**
   * Sends a request until the response status is not 503 (Service Unavailable), as operators and
   * backends do.
   */
  HttpResponse<String> callUntilAvailable(
      int index, String method, String path, String ifMatch, String body)
      throws IOException, InterruptedException {
    HttpResponse<String> response = call(index, method, path, ifMatch, body);
    for (int attempt = 1; response.statusCode() == 503 && attempt < MAX_CALL_ATTEMPTS; attempt++) {
      response = call(index, method, path, ifMatch, body);
    }
    return response;
  }

  /** Opens a TCP connection to an agent's HTTP port. */
  Socket controlSocket(int index) throws IOException {
    return connect(new InetSocketAddress(host(index), controlPort));
  }

  /** Opens a TCP connection to an agent's port for data planes and other control agents. */
  Socket internalSocket(int index) throws IOException {
    return connect(new InetSocketAddress(host(index), internalPort));
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.connect(address);
    return socket;
  }

  @Override
  public void close() {
    for (ControlPlane agent : agents) {
      if (agent != null) {
        agent.stop();
      }
    }
  }
}
