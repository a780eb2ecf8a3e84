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
 * One life of a process: its event loop and steady clock. While it is frozen everything that
 * happens to it waits; what came from different sources is then handled in any order. Once it has
 * ended nothing happens to it any more.
 */
final class SimulatedProcess implements Scheduler {
  private static final long FIRST_MICROS = 1_000_000;

  private record Held(Object source, Runnable task) {}

  private final EventQueue events;
  private final SplittableRandom random;
  private final double clockRate;
  private final long startedAt;
  private final List<Held> paused = new ArrayList<>();
  private boolean alive = true;
  private boolean frozen;

  /**
   * A process that starts now.
   *
   * @param clockRate how fast its steady clock runs; 1 is right
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
    paused.clear();
  }

  void freeze() {
    frozen = true;
  }

  /** Goes on, with what has waited; tasks of one source stay in their order. */
  void thaw() {
    frozen = false;
    List<Object> sources = new ArrayList<>(paused.stream().map(Held::source).distinct().toList());
    Collections.shuffle(sources, new Random(random.nextLong()));
    Map<Object, Integer> change = new HashMap<>();
    sources.forEach(source -> change.put(source, change.size()));
    List<Held> waited = new ArrayList<>(paused);
    paused.clear();
    waited.sort((one, other) -> change.get(one.source()) - change.get(other.source()));
    waited.forEach(each -> execute(each.source(), each.task()));
  }

  /** Runs a task on the event loop. */
  void execute(Object source, Runnable task) {
    if (!alive) {
      return;
    }
    if (frozen) {
      paused.add(new Held(source, task));
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
    Runnable unlessCancelled =
        () -> {
          if (!cancelled[0]) {
            task.run();
          }
        };
    events.after(toWorld(delayMicros), () -> execute(this, unlessCancelled));
    return () -> cancelled[0] = true;
  }

  @Override
  public void scheduleAtFixedRate(long periodMicros, Runnable task) {
    events.after(toWorld(periodMicros), () -> repeatNow(periodMicros, task));
  }

  private void repeatNow(long periodMicros, Runnable task) {
    if (alive) {
      execute(this, task);
      scheduleAtFixedRate(periodMicros, task);
    }
  }

  private long toWorld(long ownMicros) {
    return Math.max(0, (long) Math.ceil(ownMicros / clockRate));
  }
}
