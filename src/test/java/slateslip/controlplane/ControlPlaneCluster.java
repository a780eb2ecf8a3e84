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

/** Control agents on loopback addresses, with disks of their own, and callers. */
final class ControlPlaneCluster implements AutoCloseable {
  /** Ends a test that waits in vain; answers that are not clear come back within a millisecond. */
  private static final int SERVING_ATTEMPTS = 20_000;

  private final List<ControlPlane> agents = new ArrayList<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private final Path folder;
  private final int size;
  private final int controlPort;
  private final int internalPort;

  /** Starts as many agents as said; they tolerate the loss of one if there are three. */
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

  /** Starts an agent again on its disk. */
  void restart(int index) throws IOException {
    agents.set(index, ControlPlane.start(settings(index, false)));
  }

  /** Sends a call once. */
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

  /** Sends a call until its response is clear, as operators and backends do. */
  HttpResponse<String> callUntilClear(
      int index, String method, String path, String ifMatch, String body)
      throws IOException, InterruptedException {
    HttpResponse<String> response = call(index, method, path, ifMatch, body);
    for (int tried = 1; response.statusCode() == 503 && tried < SERVING_ATTEMPTS; tried++) {
      response = call(index, method, path, ifMatch, body);
    }
    return response;
  }

  /** A raw connection to an agent's control port. */
  Socket controlSocket(int index) throws IOException {
    return connect(new InetSocketAddress(host(index), controlPort));
  }

  /** A raw connection to an agent's port for other agents. */
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
