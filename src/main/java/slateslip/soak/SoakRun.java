package slateslip.soak;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import okhttp3.Request;
import okhttp3.Response;
import slateslip.soak.SoakViolation.Rule;

/**
 * One soak test: starts the fleet, executes the planned events while clients send requests, and
 * checks the records for rule violations.
 */
final class SoakRun {
  private static final long START_MILLIS = 90_000;
  private static final long POLL_MILLIS = 100;
  private static final long END_MILLIS = 40_000;
  private static final long READ_INTERVAL_MILLIS = 400;

  /**
   * Number of reads at the end of the run. Together, the reads take about as long as an operator
   * needs to retry according to the settings ({@code contact_ms}, 3 seconds by default).
   */
  private static final int FINAL_READS = 8;

  private static final String ERROR_LEVEL = "level=ERROR";

  private final SoakOptions options;
  private final Path folder;
  private final List<PlannedEvent> plan;
  private final SoakRecords records = new SoakRecords();
  private final RunCounter runs = new RunCounter(this::nowMillis);
  private final SoakFleet fleet;
  private final SoakOperator operator;
  private final ExecutorService threads = Executors.newCachedThreadPool(SoakRun::daemon);
  private final long startNanos = System.nanoTime();
  private volatile boolean stopClients;
  private volatile boolean stopReads;

  SoakRun(SoakOptions options, Path folder) throws IOException {
    this.options = options;
    this.folder = folder;
    this.plan = SoakPlan.draw(options);
    FleetLayout layout = new FleetLayout(options, folder);
    fleet = new SoakFleet(options, layout, this::nowMillis, records);
    String padding = SoakConfiguration.padding(options.seed(), options.paddingBytes());
    operator = new SoakOperator(layout.controlAddresses(), this::nowMillis, records, padding);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "soak");
    thread.setDaemon(true);
    return thread;
  }

  /** Results of a run. */
  record Result(List<SoakViolation> violations, SoakRecords records, List<TenantRun> tenantRuns) {}

  SoakOptions options() {
    return options;
  }

  SoakFleet fleet() {
    return fleet;
  }

  long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  boolean clientsShouldStop() {
    return stopClients;
  }

  void record(RequestRecord request) {
    records.addRequest(request);
  }

  /** Runs the soak test to its end and returns the violations and the records. */
  Result run() throws IOException, InterruptedException {
    List<SoakViolation> violations = new ArrayList<>();
    Thread shutdownHook = new Thread(fleet::killAll, "end");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      fleet.start();
      operator.change(false);
      fleet.startBackends(operator.client(), runs);
      if (!awaitReady()) {
        violations.add(
            new SoakViolation(Rule.PROCESS, nowMillis(), "the fleet did not become ready"));
        return new Result(violations, records, runs.tenantRuns());
      }
      executePlan();
      violations.addAll(checkConfigurationDurability());
    } finally {
      stopReads = true;
      fleet.close();
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
      operator.close();
      threads.shutdownNow();
    }
    violations.addAll(
        SoakChecker.check(
            records.requests(),
            records.incarnations(),
            runs.runsByAttemptId(),
            records.configurations()));
    violations.addAll(SoakChecker.checkQuota(runs.tenantRuns()));
    violations.addAll(loggedErrors());
    return new Result(violations, records, runs.tenantRuns());
  }

  /** Returns one violation for each process log that contains a line of level ERROR. */
  private List<SoakViolation> loggedErrors() throws IOException {
    List<SoakViolation> errors = new ArrayList<>();
    try (DirectoryStream<Path> logs = Files.newDirectoryStream(folder, "*.log")) {
      for (Path log : logs) {
        try (Stream<String> lines = Files.lines(log)) {
          lines
              .filter(line -> line.contains(ERROR_LEVEL))
              .findFirst()
              .ifPresent(line -> errors.add(new SoakViolation(Rule.PROCESS, nowMillis(), line)));
        }
      }
    }
    return errors;
  }

  private boolean awaitReady() throws InterruptedException {
    long end = nowMillis() + START_MILLIS;
    for (int i = 0; i < options.dataPlanes(); i++) {
      while (!isReady(i)) {
        if (nowMillis() > end) {
          return false;
        }
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
    }
    return true;
  }

  private boolean isReady(int dataPlane) {
    Request request = new Request.Builder().url(fleet.readyUrl(dataPlane)).build();
    try (Response response = operator.client().newCall(request).execute()) {
      return response.isSuccessful();
    } catch (IOException notYet) {
      return false;
    }
  }

  private void executePlan() throws InterruptedException {
    SplittableRandom seeds = new SplittableRandom(options.seed());
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < options.clients(); i++) {
      Thread client = daemon(new SoakClient(this, i, seeds.nextLong()));
      client.start();
      clients.add(client);
    }
    threads.execute(this::pollConfiguration);
    long trafficMillis = nowMillis();
    for (PlannedEvent event : plan) {
      long wait = trafficMillis + event.atMillis() - nowMillis();
      TimeUnit.MILLISECONDS.sleep(Math.max(0, wait));
      threads.execute(() -> execute(event));
      fleet.checkForExit();
    }
    stopClients = true;
    long end = nowMillis() + END_MILLIS;
    for (Thread client : clients) {
      client.join(Math.max(1, end - nowMillis()));
    }
  }

  private void execute(PlannedEvent event) {
    try {
      switch (event.kind()) {
        case CONFIGURE -> operator.change(false);
        case CONFIGURE_ROUTE -> operator.change(true);
        default -> fleet.execute(event);
      }
    } catch (IOException failed) {
      throw new IllegalStateException(failed);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private void pollConfiguration() {
    try {
      while (!stopReads) {
        operator.readAll();
        TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MILLIS);
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitUndisturbed() throws InterruptedException {
    while (!fleet.mayEraseDisk()) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  /**
   * Changes the configuration, kills all control agents immediately after the acknowledgement and
   * erases the disk of one agent. The acknowledged configuration must then be readable. If the
   * change is not acknowledged, the data of an earlier disk loss may not have been copied yet, so
   * no disk is erased.
   */
  private List<SoakViolation> checkConfigurationDurability()
      throws IOException, InterruptedException {
    awaitUndisturbed();
    boolean replicated = operator.change(false);
    int erasedAgent = (int) (options.seed() % options.controlAgents());
    fleet.killControlPlane(replicated ? erasedAgent : SoakFleet.NO_AGENT);
    List<SoakViolation> violations = new ArrayList<>();
    for (int i = 0; i < FINAL_READS; i++) {
      if (!operator.awaitRead()) {
        violations.add(
            new SoakViolation(
                Rule.CONFIGURATION,
                nowMillis(),
                "no configuration read succeeded after the restart of all control agents"));
        return violations;
      }
      TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MILLIS);
    }
    return violations;
  }
}
