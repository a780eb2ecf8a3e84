package slateslip.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.simulation.engine.EngineInput;
import slateslip.simulation.engine.EngineModel;
import slateslip.simulation.engine.EngineOutput;
import slateslip.simulation.engine.EngineParameters;
import slateslip.simulation.engine.EngineRequest;

/** Runs an {@link EngineModel} in real time on a dedicated thread. */
final class RealTimeEngine implements AutoCloseable {
  private final EngineParameters parameters;
  private final ScheduledExecutorService thread;
  private final EngineModel model;
  private final Map<Long, EngineListener> listeners = new HashMap<>();
  private long wakeUpNumber;
  private volatile BackendLoad load;
  private volatile long lockedTokens;

  RealTimeEngine(EngineParameters parameters) {
    this.parameters = parameters;
    this.model = new EngineModel(parameters);
    this.load = new BackendLoad(0, 0, parameters.slots());
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(1, task -> daemon(task, "engine"));
    executor.setRemoveOnCancelPolicy(true);
    thread = executor;
  }

  static Thread daemon(Runnable task, String name) {
    Thread created = new Thread(task, name);
    created.setDaemon(true);
    return created;
  }

  /** Returns the engine's monotonic clock in microseconds. */
  static long nowMicros() {
    return System.nanoTime() / 1_000;
  }

  void submit(EngineRequest request, EngineListener listener) {
    run(
        () -> {
          listeners.put(request.id(), listener);
          process(new EngineInput.Submit(request));
        });
  }

  void cancel(long request) {
    run(
        () -> {
          listeners.remove(request);
          process(new EngineInput.Cancel(request));
        });
  }

  /** Returns the number of running and waiting requests after the last processed input. */
  BackendLoad load() {
    return load;
  }

  /**
   * Returns the number of memory tokens that could not be evicted after the last processed input.
   */
  long lockedTokens() {
    return lockedTokens;
  }

  EngineParameters parameters() {
    return parameters;
  }

  private void run(Runnable task) {
    try {
      thread.execute(task);
    } catch (RejectedExecutionException closed) {
      // The engine has been closed. Its requests end when their connections are closed.
    }
  }

  private void process(EngineInput input) {
    long number = ++wakeUpNumber;
    for (EngineOutput output : model.handle(nowMicros(), input)) {
      if (output instanceof EngineOutput.WakeAt wake) {
        long delay = Math.max(0, wake.atMicros() - nowMicros());
        thread.schedule(() -> wake(number), delay, TimeUnit.MICROSECONDS);
      } else {
        notifyListener(output);
      }
    }
    load = new BackendLoad(model.runningCount(), model.waitingCount(), parameters.slots());
    lockedTokens = model.lockedTokens();
  }

  private void wake(long number) {
    if (number == wakeUpNumber) {
      process(new EngineInput.Wake());
    }
  }

  private void notifyListener(EngineOutput output) {
    if (output instanceof EngineOutput.Event event) {
      EngineListener listener = findListener(event.request(), event.last());
      listener.event(event.eventId(), event.last());
    } else if (output instanceof EngineOutput.Rejected rejected) {
      findListener(rejected.request(), true).rejected(rejected.reason());
    } else if (output instanceof EngineOutput.DeadlineExceeded exceeded) {
      findListener(exceeded.request(), true).deadlineExceeded();
    }
  }

  private EngineListener findListener(long request, boolean last) {
    return last ? listeners.remove(request) : listeners.get(request);
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
