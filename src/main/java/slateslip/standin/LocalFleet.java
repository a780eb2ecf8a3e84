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

/**
 * A complete fleet on the loopback interface: control agents and data planes as separate processes,
 * and stand-in backends in this process.
 */
final class LocalFleet {
  private static final int ENGINES = 3;
  private static final int LEDGERS = 2;
  private static final int LEDGER_SLOTS = 6;
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

  /** Result of starting the fleet. */
  sealed interface Outcome {
    /** All data planes are ready to serve requests. */
    record Ready() implements Outcome {}

    /** The configuration was not accepted or a data plane did not become ready. */
    record Failed(String reason) implements Outcome {}
  }

  /**
   * Creates a fleet without starting any process.
   *
   * @param programs jars and JVM options of both programs
   */
  LocalFleet(FleetAddresses addresses, FleetPrograms programs) throws IOException {
    this.addresses = addresses;
    this.programs = programs;
    this.folder = Files.createTempDirectory("slateslip-local-");
  }

  Path folder() {
    return folder;
  }

  /**
   * Starts all processes and backends, sends the configuration and waits until all data planes are
   * ready.
   */
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
        new Operator(client, addresses.controlAddresses(), new PollTimer(START_SECONDS));
    if (operator.put(configuration()) instanceof Operator.Outcome.Rejected rejected) {
      return new Outcome.Failed("the configuration was not accepted: " + rejected.reason());
    }
    return awaitReady();
  }

  ChildProcess controlAgent(int index) {
    return controlAgents.get(index);
  }

  ChildProcess dataPlane(int index) {
    return dataPlanes.get(index);
  }

  /** Removes the registration of the most recently started backend and stops the backend. */
  void removeLastBackend() {
    heartbeats.remove(heartbeats.size() - 1).close();
    backends.remove(backends.size() - 1).close();
  }

  /** Stops the first backend without removing its registration, to simulate a crash. */
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
              engine ? EngineParameters.DENSE_70B.slots() : LEDGER_SLOTS);
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
    PollTimer timer = new PollTimer(START_SECONDS);
    for (int i = 0; i < FleetAddresses.DATA_PLANES; i++) {
      while (!isReady(i)) {
        if (!timer.awaitNext()) {
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
                    .append(child.isRunning() ? " is running\n" : " has exited\n")
                    .append(child.logTail())
                    .append('\n'));
    return text.toString();
  }

  /**
   * Stops the data planes first, then the heartbeats, the control agents and the backends, and
   * deletes the folder with settings, data and logs.
   */
  void close() throws InterruptedException, IOException {
    terminateAll(dataPlanes);
    heartbeats.forEach(Heartbeats::close);
    terminateAll(controlAgents);
    backends.forEach(StandInServer::close);
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(LocalFleet::delete);
    }
  }

  private static void terminateAll(List<ChildProcess> children) throws InterruptedException {
    children.forEach(ChildProcess::terminate);
    for (ChildProcess child : children) {
      child.awaitExit();
    }
  }

  private static void delete(Path file) {
    try {
      Files.delete(file);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
