package slateslip.loadbalancer.scale;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The processes that a run has started. Whatever happens to the run, all of them are ended by their
 * id: a hook sees to that when this process ends.
 */
public final class Children implements AutoCloseable {
  /** Beside the machine's other users: no run starts more. */
  public static final int MAX = 250;

  private static final long KILL_SECONDS = 5;

  private final Set<Process> running = ConcurrentHashMap.newKeySet();
  private final Thread hook = new Thread(this::kill);

  /** Sees to the end of what is started through it. */
  public Children() {
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /**
   * Starts a process.
   *
   * @throws IOException if it cannot be started
   * @throws IllegalStateException if too many run already
   */
  public Process start(ProcessBuilder builder) throws IOException {
    running.removeIf(each -> !each.isAlive());
    if (running.size() >= MAX) {
      throw new IllegalStateException("more than " + MAX + " processes");
    }
    Process process = builder.start();
    running.add(process);
    return process;
  }

  private void kill() {
    running.forEach(Process::destroyForcibly);
  }

  /** Kills what still runs and waits for it. */
  @Override
  public void close() {
    kill();
    try {
      for (Process each : running) {
        each.waitFor(KILL_SECONDS, TimeUnit.SECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    running.clear();
  }
}
