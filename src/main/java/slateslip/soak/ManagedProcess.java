package slateslip.soak;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import slateslip.standin.ChildProcess;

/**
 * One address of the fleet and the successive processes that run there. All methods may be called
 * from any thread. A request to stop or kill the process is ignored while another thread is already
 * restarting the process.
 */
final class ManagedProcess {
  private static final long START_MILLIS = 3_000;
  private static final long START_DELAY_MILLIS = 200;
  private static final long SIGNAL_INTERVAL_MILLIS = 400;
  private static final long GRACE_MILLIS = TimeUnit.SECONDS.toMillis(FleetLayout.GRACE_SECONDS);

  /**
   * Time after the end of the grace period in which a process must exit. A process that exceeds
   * this time is counted as faulty even on a busy machine.
   */
  private static final long EXIT_TOLERANCE_MILLIS = 4_000;

  /** Starts a new process for the same address. */
  interface Starter {
    ChildProcess start() throws IOException;
  }

  private final String name;
  private final BooleanSupplier listens;
  private final LongSupplier clock;
  private final SoakRecords records;
  private final ReentrantLock restartLock = new ReentrantLock();
  private int incarnations;
  private volatile long lastDisturbanceMillis;
  private volatile boolean listening;
  private volatile ChildProcess process;
  private volatile ProcessIncarnation incarnation;

  /**
   * Creates the state of an address at which no process runs yet.
   *
   * @param listens returns whether the process accepts connections
   */
  ManagedProcess(String name, BooleanSupplier listens, LongSupplier clock, SoakRecords records) {
    this.name = name;
    this.listens = listens;
    this.clock = clock;
    this.records = records;
  }

  ProcessIncarnation incarnation() {
    return incarnation;
  }

  /**
   * Returns the milliseconds since the last termination signal or since the process began to
   * listen, whichever is later. Before the process listens, the time counts from its start. Returns
   * 0 while the process is being restarted.
   */
  long millisSinceDisturbance() {
    return restartLock.isLocked() ? 0 : clock.getAsLong() - lastDisturbanceMillis;
  }

  /**
   * Returns the milliseconds for which the process has been listening without a termination signal,
   * or 0 if it does not listen yet. The time before the process listens does not count, because a
   * JVM takes seconds to start on a busy machine.
   */
  long listeningMillisSinceDisturbance() {
    return listening ? millisSinceDisturbance() : 0;
  }

  /**
   * Checks whether a started process accepts connections, and if so records the current time as the
   * start of listening.
   */
  void checkListening() {
    if (!listening && listens.getAsBoolean()) {
      lastDisturbanceMillis = clock.getAsLong();
      listening = true;
    }
  }

  void start(Starter starter) throws IOException {
    incarnations++;
    lastDisturbanceMillis = clock.getAsLong();
    listening = false;
    ProcessIncarnation next = new ProcessIncarnation(name + "/" + incarnations, GRACE_MILLIS);
    records.addIncarnation(next);
    incarnation = next;
    process = starter.start();
  }

  /**
   * Sends SIGHUP unless the process was started, began to listen or received SIGTERM less than
   * three seconds ago. A JVM that has not installed the program's signal handler yet would be
   * terminated by SIGHUP.
   */
  void reload() throws IOException {
    if (millisSinceDisturbance() > START_MILLIS) {
      process.reload();
    }
  }

  private void terminate() {
    lastDisturbanceMillis = clock.getAsLong();
    incarnation.recordStop(clock.getAsLong());
    process.terminate();
  }

  /**
   * Sends SIGTERM, sends SIGKILL if the process has not exited four seconds after its grace period,
   * and starts a new process.
   *
   * @param signals number of times that SIGTERM is sent
   */
  void terminateAndRestart(int signals, Starter starter) throws IOException, InterruptedException {
    if (!restartLock.tryLock()) {
      return;
    }
    try {
      terminate();
      for (int signal = 1; signal < signals; signal++) {
        TimeUnit.MILLISECONDS.sleep(SIGNAL_INTERVAL_MILLIS);
        terminate();
      }
      if (!process.awaitExit(GRACE_MILLIS + EXIT_TOLERANCE_MILLIS)) {
        kill();
      }
      restart(starter);
    } finally {
      restartLock.unlock();
    }
  }

  /** Sends SIGKILL and starts a new process. */
  void killAndRestart(Starter starter) throws IOException, InterruptedException {
    if (!restartLock.tryLock()) {
      return;
    }
    try {
      kill();
      restart(starter);
    } finally {
      restartLock.unlock();
    }
  }

  private void kill() throws InterruptedException {
    incarnation.recordKill(clock.getAsLong());
    process.kill();
    process.awaitExit(GRACE_MILLIS);
  }

  private void restart(Starter starter) throws IOException, InterruptedException {
    incarnation.recordExit(clock.getAsLong());
    TimeUnit.MILLISECONDS.sleep(START_DELAY_MILLIS);
    start(starter);
  }

  /**
   * Records an exit of the process that was not requested. Does nothing while another thread
   * restarts the process.
   */
  void checkForExit() {
    if (!restartLock.tryLock()) {
      return;
    }
    try {
      if (!process.isRunning() && !incarnation.isStopping()) {
        incarnation.recordExit(clock.getAsLong());
      }
    } finally {
      restartLock.unlock();
    }
  }

  /** Kills the current process, if any, without starting a new one. */
  void close() {
    ChildProcess current = process;
    if (current != null) {
      current.kill();
    }
  }
}
