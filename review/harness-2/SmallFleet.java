import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Three control agents, one data plane and three backends, with a configuration in force. */
record SmallFleet(Deployment deployment, Deployment.Machine edge, List<Backend> backends) {
  private static final int ZONES = 3;
  private static final int SETTLING_MILLIS = 4_000;

  /** The place of a backend. */
  record Place(String address, String zone) {}

  /** Creates the backend of a place. */
  interface BackendFactory {
    Backend create(Place place) throws IOException;
  }

  /** Starts the fleet. Returns null if it does not take the configuration. */
  static SmallFleet start(Deployment deployment, BackendFactory factory, String configuration)
      throws IOException, InterruptedException {
    for (int zone = 1; zone <= ZONES; zone++) {
      deployment.addCore("core-" + zone, "127." + zone + ".0.1", "zone-" + zone);
    }
    Deployment.Machine edge = deployment.addEdge("edge-1", "127.1.0.9", "zone-1");
    for (Deployment.Machine machine : deployment.machines.values()) {
      deployment.start(machine);
    }
    List<Backend> backends = startBackends(deployment, factory);
    if (deployment.change("PUT", 0, configuration, 30).status() != 200) {
      return null;
    }
    Thread.sleep(SETTLING_MILLIS);
    return new SmallFleet(deployment, edge, backends);
  }

  static List<Backend> startBackends(Deployment deployment, BackendFactory factory)
      throws IOException {
    List<Backend> backends = new ArrayList<>();
    for (int zone = 1; zone <= ZONES; zone++) {
      Backend backend = factory.create(new Place("127." + zone + ".0.20", "zone-" + zone));
      backend.start(deployment.controlAddresses());
      backends.add(backend);
    }
    return backends;
  }

  Client client(int receiveBufferBytes) throws IOException {
    return new Client(edge.ip, deployment.frontPort, receiveBufferBytes);
  }

  List<Backend.Run> runs() {
    return backends.stream().flatMap(backend -> backend.runs.stream()).toList();
  }
}
