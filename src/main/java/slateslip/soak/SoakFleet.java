package slateslip.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import okhttp3.OkHttpClient;
import slateslip.standin.BackendDescription;
import slateslip.standin.ChildProcess;
import slateslip.standin.Heartbeats;
import slateslip.standin.StandInServer;

/**
 * Starts, stops and restarts the processes of both programs and the stand-in backends of a soak
 * test.
 */
final class SoakFleet {
  /** Index for {@link #killControlPlane} that stands for no control agent. */
  static final int NO_AGENT = -1;

  private static final int SLOTS = 64;
  private static final int CONNECT_MILLIS = 500;

  /**
   * Time after a control agent starts to listen in which its disk counts as lost, because the agent
   * may still be copying the data from its peers.
   */
  private static final long SYNC_MILLIS = 5_000;

  private static final long SLOW_LINK_BITS_PER_SECOND = 7_000_000;
  private static final String CONTROL_JAR = "slateslip-controlplane.jar";
  private static final String DATA_PLANE_JAR = "slateslip-dataplane.jar";

  private final SoakOptions options;
  private final FleetLayout layout;
  private final List<ManagedProcess> controlAgents = new ArrayList<>();
  private final List<ManagedProcess> dataPlanes = new ArrayList<>();
  private final List<StandInServer> backends = new ArrayList<>();
  private final List<Heartbeats> heartbeats = new ArrayList<>();
  private final SlowLink slowLink = new SlowLink(SLOW_LINK_BITS_PER_SECOND);

  SoakFleet(SoakOptions options, FleetLayout layout, LongSupplier clock, SoakRecords records) {
    this.options = options;
    this.layout = layout;
    for (int i = 0; i < options.controlAgents(); i++) {
      InetSocketAddress address = layout.control(i);
      controlAgents.add(
          new ManagedProcess("control-" + i, () -> canConnect(address), clock, records));
    }
    for (int i = 0; i < options.dataPlanes(); i++) {
      InetSocketAddress address = layout.front(i);
      dataPlanes.add(new ManagedProcess("edge-" + i, () -> canConnect(address), clock, records));
    }
  }

  private static boolean canConnect(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address, CONNECT_MILLIS);
      return true;
    } catch (IOException notYet) {
      return false;
    }
  }

  void start() throws IOException {
    for (int i = 0; i < controlAgents.size(); i++) {
      slowLink.add(layout.slowInternal(i), layout.internal(i));
    }
    for (int i = 0; i < controlAgents.size(); i++) {
      controlAgents.get(i).start(controlStarter(i, true));
    }
    for (int i = 0; i < dataPlanes.size(); i++) {
      dataPlanes.get(i).start(dataPlaneStarter(i));
    }
  }

  private ManagedProcess.Starter controlStarter(int index, boolean bootstrap) {
    return () ->
        ChildProcess.start(
            options.jars().resolve(CONTROL_JAR), layout.controlSettings(index, bootstrap));
  }

  private ManagedProcess.Starter dataPlaneStarter(int index) {
    return () ->
        ChildProcess.start(options.jars().resolve(DATA_PLANE_JAR), layout.dataPlaneSettings(index));
  }

  /** Starts the backends of all services and their heartbeats. */
  void startBackends(OkHttpClient client, RunCounter runs) {
    List<String> services =
        List.of(
            SoakConfiguration.STREAMS,
            SoakConfiguration.ENTRIES,
            SoakConfiguration.OPTIONAL_ENTRIES,
            SoakConfiguration.LIMITED_ENTRIES);
    for (int service = 0; service < services.size(); service++) {
      int zone = 0;
      for (InetSocketAddress address : layout.backends(service)) {
        BackendDescription description =
            new BackendDescription(
                "i-" + UUID.randomUUID(),
                services.get(service),
                address,
                FleetLayout.zone(zone++),
                SLOTS);
        StandInServer backend =
            service == 0
                ? new StreamBackend(description, runs)
                : new EntryBackend(description, runs);
        backend.start();
        backends.add(backend);
        Heartbeats sender =
            new Heartbeats(
                client, backend, layout.controlAddresses(), FleetLayout.HEARTBEAT_MILLIS);
        sender.start();
        heartbeats.add(sender);
      }
    }
  }

  InetSocketAddress front(int dataPlane) {
    return layout.front(dataPlane);
  }

  String readyUrl(int dataPlane) {
    return layout.readyUrl(dataPlane);
  }

  ProcessIncarnation dataPlaneIncarnation(int dataPlane) {
    return dataPlanes.get(dataPlane).incarnation();
  }

  /**
   * Executes a planned event that concerns a process, and returns after a new process has been
   * started.
   */
  void execute(PlannedEvent event) throws IOException, InterruptedException {
    int target = event.target();
    switch (event.kind()) {
      case STOP_DATA_PLANE ->
          dataPlanes.get(target).terminateAndRestart(1, dataPlaneStarter(target));
      case STOP_DATA_PLANE_TWICE ->
          dataPlanes.get(target).terminateAndRestart(2, dataPlaneStarter(target));
      case KILL_DATA_PLANE -> dataPlanes.get(target).killAndRestart(dataPlaneStarter(target));
      case RELOAD_DATA_PLANE -> dataPlanes.get(target).reload();
      case STOP_CONTROL_AGENT ->
          controlAgents.get(target).terminateAndRestart(1, controlStarter(target, false));
      case KILL_CONTROL_AGENT ->
          controlAgents.get(target).killAndRestart(controlStarter(target, false));
      case WIPE_CONTROL_AGENT -> {
        if (mayEraseDisk()) {
          killAndEraseDisk(target);
        } else {
          controlAgents.get(target).killAndRestart(controlStarter(target, false));
        }
      }
      default -> throw new IllegalArgumentException(event.toString());
    }
  }

  /**
   * Returns whether the fleet must tolerate the loss of a disk now. This is the case if no control
   * agent was restarted recently, because such an agent may still be copying its data from its
   * peers.
   */
  boolean mayEraseDisk() {
    controlAgents.forEach(ManagedProcess::checkListening);
    return controlAgents.stream()
        .allMatch(agent -> agent.listeningMillisSinceDisturbance() > SYNC_MILLIS);
  }

  private void killAndEraseDisk(int target) throws IOException, InterruptedException {
    ManagedProcess.Starter starter = controlStarter(target, false);
    controlAgents
        .get(target)
        .killAndRestart(
            () -> {
              delete(layout.controlData(target));
              return starter.start();
            });
  }

  /**
   * Kills all control agents at once, erases the data folder of one of them and restarts all of
   * them.
   *
   * @param erasedAgent index of the control agent whose data folder is erased, or {@link #NO_AGENT}
   */
  void killControlPlane(int erasedAgent) throws IOException, InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < controlAgents.size(); i++) {
      int target = i;
      threads.add(new Thread(() -> killAgent(target, target == erasedAgent), "final-" + i));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void killAgent(int target, boolean disk) {
    try {
      if (disk) {
        killAndEraseDisk(target);
      } else {
        controlAgents.get(target).killAndRestart(controlStarter(target, false));
      }
    } catch (IOException failed) {
      throw new IllegalStateException(failed);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Records processes that have exited without a signal, and control agents that have started to
   * listen.
   */
  void checkForExit() {
    controlAgents.forEach(ManagedProcess::checkListening);
    Stream.concat(controlAgents.stream(), dataPlanes.stream())
        .forEach(ManagedProcess::checkForExit);
  }

  /** Kills all processes immediately. */
  void killAll() {
    Stream.concat(controlAgents.stream(), dataPlanes.stream()).forEach(ManagedProcess::close);
  }

  void close() throws IOException {
    heartbeats.forEach(Heartbeats::close);
    killAll();
    slowLink.close();
    backends.forEach(StandInServer::close);
  }

  static void delete(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
