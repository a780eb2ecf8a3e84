package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import slateslip.controlplane.agent.Scheduler;
import slateslip.simulation.EventQueue;

/**
 * One run of a process with its event loop and its steady clock. A frozen process queues all its
 * tasks; after the process thaws, the tasks of different sources run in random order. A process
 * that has ended runs no tasks.
 */
final class SimulatedProcess implements Scheduler {
  private static final long FIRST_MICROS = 1_000_000;

  private record QueuedTask(Object source, Runnable task) {}

  private final EventQueue events;
  private final SplittableRandom random;
  private final double clockRate;
  private final long startedAt;
  private final List<QueuedTask> queuedTasks = new ArrayList<>();
  private boolean alive = true;
  private boolean frozen;

  /**
   * Creates a process that starts now.
   *
   * @param clockRate the speed of the steady clock relative to simulated time; 1 is accurate
   */
  SimulatedProcess(EventQueue events, SplittableRandom random, double clockRate) {
    this.events = events;
    this.random = random;
    this.clockRate = clockRate;
    startedAt = events.nowMicros();
  }

  boolean isAlive() {
    return alive;
  }

  boolean isFrozen() {
    return frozen;
  }

  void end() {
    alive = false;
    queuedTasks.clear();
  }

  void freeze() {
    frozen = true;
  }

  /** Continues the process and runs the queued tasks; tasks of one source keep their order. */
  void thaw() {
    frozen = false;
    List<Object> sources =
        new ArrayList<>(queuedTasks.stream().map(QueuedTask::source).distinct().toList());
    Collections.shuffle(sources, new Random(random.nextLong()));
    Map<Object, Integer> sourceOrder = new HashMap<>();
    sources.forEach(source -> sourceOrder.put(source, sourceOrder.size()));
    List<QueuedTask> waited = new ArrayList<>(queuedTasks);
    queuedTasks.clear();
    waited.sort((one, other) -> sourceOrder.get(one.source()) - sourceOrder.get(other.source()));
    waited.forEach(each -> execute(each.source(), each.task()));
  }

  /** Runs a task on the event loop; a process that has ended discards the task. */
  void execute(Object source, Runnable task) {
    if (!alive) {
      return;
    }
    if (frozen) {
      queuedTasks.add(new QueuedTask(source, task));
    } else {
      task.run();
    }
  }

  @Override
  public long nowMicros() {
    return FIRST_MICROS + (long) ((events.nowMicros() - startedAt) * clockRate);
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    boolean[] cancelled = {false};
    Runnable taskUnlessCancelled =
        () -> {
          if (!cancelled[0]) {
            task.run();
          }
        };
    events.after(toSimulatedMicros(delayMicros), () -> execute(this, taskUnlessCancelled));
    return () -> cancelled[0] = true;
  }

  @Override
  public void scheduleAtFixedRate(long periodMicros, Runnable task) {
    events.after(toSimulatedMicros(periodMicros), () -> repeatNow(periodMicros, task));
  }

  private void repeatNow(long periodMicros, Runnable task) {
    if (alive) {
      execute(this, task);
      scheduleAtFixedRate(periodMicros, task);
    }
  }

  private long toSimulatedMicros(long ownMicros) {
    return Math.max(0, (long) Math.ceil(ownMicros / clockRate));
  }
}
