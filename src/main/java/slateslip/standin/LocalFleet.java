package slateslip.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import slateslip.simulation.engine.EngineParameters;

/** A whole fleet on the loopback interface: both programs as in service, and stand-in backends. */
final class LocalFleet {
  private static final int ENGINES = 3;
  private static final int LEDGERS = 2;
  private static final int LOG_SLOTS = 6;
  private static final long START_SECONDS = 120;
  private static final String CONFIGURATION = "configuration.json";

  private final FleetAddresses addresses;
  private final FleetPrograms programs;
  private final Path folder;
  private final List<ChildProcess> controlAgents = new CopyOnWriteArrayList<>();
  private final List<ChildProcess> dataPlanes = new CopyOnWriteArrayList<>();
  private final List<StandInServer> backends = new CopyOnWriteArrayList<>();
  private final List<Heartbeats> heartbeats = new CopyOnWriteArrayList<>();
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(2)).build();

  /** What came of the start. */
  sealed interface Outcome {
    /** Requests are served. */
    record Ready() implements Outcome {}

    /** Some part did not come up. */
    record Failed(String reason) implements Outcome {}
  }

  /**
   * Nothing runs yet.
   *
   * @param programs how both programs are started
   */
  LocalFleet(FleetAddresses addresses, FleetPrograms programs) throws IOException {
    this.addresses = addresses;
    this.programs = programs;
    this.folder = Files.createTempDirectory("slateslip-local-");
  }

  Path folder() {
    return folder;
  }

  /** Starts everything and waits until a request would be served. */
  Outcome start() throws IOException, InterruptedException {
    LocalSettings settings = new LocalSettings(addresses, folder);
    for (int i = 0; i < FleetAddresses.CONTROL_AGENTS; i++) {
      controlAgents.add(programs.startControlAgent(i, settings.controlAgent(i)));
    }
    for (int i = 0; i < FleetAddresses.DATA_PLANES; i++) {
      dataPlanes.add(programs.startDataPlane(i, settings.dataPlane(i)));
    }
    startBackends();
    Operator operator =
        new Operator(client, addresses.controlAddresses(), new Delay(START_SECONDS));
    if (operator.put(configuration()) instanceof Operator.Outcome.Refused refused) {
      return new Outcome.Failed("the configuration was not taken: " + refused.reason());
    }
    return awaitReady();
  }

  ChildProcess controlAgent(int index) {
    return controlAgents.get(index);
  }

  ChildProcess dataPlane(int index) {
    return dataPlanes.get(index);
  }

  /** Withdraws the registration of the newest backend and ends it. */
  void removeLastBackend() {
    heartbeats.remove(heartbeats.size() - 1).close();
    backends.remove(backends.size() - 1).close();
  }

  /** Ends the first backend while its registration goes on, as if it had crashed. */
  void crashFirstBackend() {
    backends.get(0).close();
  }

  private void startBackends() {
    for (int i = 0; i < ENGINES + LEDGERS; i++) {
      boolean engine = i < ENGINES;
      BackendDescription description =
          new BackendDescription(
              "i-" + UUID.randomUUID(),
              engine ? "engines" : "ledger",
              addresses.backend(i),
              LocalSettings.zone(i % FleetAddresses.DATA_PLANES),
              engine ? EngineParameters.DENSE_70B.slots() : LOG_SLOTS);
      StandInServer backend =
          engine
              ? new EngineServer(description, EngineParameters.DENSE_70B)
              : new AppendLogServer(description);
      backend.start();
      backends.add(backend);
      Heartbeats sender =
          new Heartbeats(
              client, backend, addresses.controlAddresses(), LocalSettings.HEARTBEAT_MILLIS);
      sender.start();
      heartbeats.add(sender);
    }
  }

  private static byte[] configuration() throws IOException {
    try (InputStream input = LocalFleet.class.getResourceAsStream(CONFIGURATION)) {
      return input.readAllBytes();
    }
  }

  private Outcome awaitReady() throws InterruptedException {
    Delay delay = new Delay(START_SECONDS);
    for (int i = 0; i < FleetAddresses.DATA_PLANES; i++) {
      while (!isReady(i)) {
        if (!delay.another()) {
          return new Outcome.Failed(dataPlanes.get(i).name() + " is not ready:\n" + logs());
        }
      }
    }
    return new Outcome.Ready();
  }

  private boolean isReady(int dataPlane) {
    Request request = new Request.Builder().url(addresses.readyUrl(dataPlane)).build();
    try (Response response = client.newCall(request).execute()) {
      return response.isSuccessful();
    } catch (IOException notYet) {
      return false;
    }
  }

  private String logs() {
    StringBuilder text = new StringBuilder();
    Stream.concat(controlAgents.stream(), dataPlanes.stream())
        .forEach(
            child ->
                text.append(child.name())
                    .append(child.running() ? " runs\n" : " has ended\n")
                    .append(child.logEnd())
                    .append('\n'));
    return text.toString();
  }

  /** Ends everything in order: clients' side first. */
  void close() throws InterruptedException, IOException {
    endAll(dataPlanes);
    heartbeats.forEach(Heartbeats::close);
    endAll(controlAgents);
    backends.forEach(StandInServer::close);
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(LocalFleet::delete);
    }
  }

  private static void endAll(List<ChildProcess> children) throws InterruptedException {
    children.forEach(ChildProcess::askToEnd);
    for (ChildProcess child : children) {
      child.awaitEnd();
    }
  }

  private static void delete(Path file) {
    try {
      Files.delete(file);
    } catch (IOException stuck) {
      throw new UncheckedIOException(stuck);
    }
  }
}
