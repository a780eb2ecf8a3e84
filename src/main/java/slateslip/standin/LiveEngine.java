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

/** Runs an {@link EngineModel} in real time on a thread of its own. */
final class LiveEngine implements AutoCloseable {
  private final EngineParameters parameters;
  private final ScheduledExecutorService thread;
  private final EngineModel model;
  private final Map<Long, EngineListener> listeners = new HashMap<>();
  private long wakeNumber;
  private volatile BackendLoad load;
  private volatile long lockedTokens;

  LiveEngine(EngineParameters parameters) {
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

  /** Microseconds of the engine's own clock. */
  static long nowMicros() {
    return System.nanoTime() / 1_000;
  }

  void submit(EngineRequest request, EngineListener listener) {
    run(
        () -> {
          listeners.put(request.id(), listener);
          feed(new EngineInput.Submit(request));
        });
  }

  void cancel(long request) {
    run(
        () -> {
          listeners.remove(request);
          feed(new EngineInput.Cancel(request));
        });
  }

  /** Requests running and waiting, as of the last thing that happened. */
  BackendLoad load() {
    return load;
  }

  /** Tokens of memory that cannot give way, as of the last thing that happened. */
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
      // the engine has been closed: its requests end with their connections
    }
  }

  private void feed(EngineInput input) {
    long number = ++wakeNumber;
    for (EngineOutput output : model.handle(nowMicros(), input)) {
      if (output instanceof EngineOutput.WakeAt wake) {
        long delay = Math.max(0, wake.atMicros() - nowMicros());
        thread.schedule(() -> wake(number), delay, TimeUnit.MICROSECONDS);
      } else {
        tell(output);
      }
    }
    load = new BackendLoad(model.runningCount(), model.waitingCount(), parameters.slots());
    lockedTokens = model.lockedTokens();
  }

  private void wake(long number) {
    if (number == wakeNumber) {
      feed(new EngineInput.Wake());
    }
  }

  private void tell(EngineOutput output) {
    if (output instanceof EngineOutput.Event event) {
      EngineListener listener = listener(event.request(), event.last());
      listener.event(event.eventId(), event.last());
    } else if (output instanceof EngineOutput.Rejected rejected) {
      listener(rejected.request(), true).rejected(rejected.reason());
    } else if (output instanceof EngineOutput.DeadlineExceeded exceeded) {
      listener(exceeded.request(), true).deadlineExceeded();
    }
  }

  private EngineListener listener(long request, boolean over) {
    return over ? listeners.remove(request) : listeners.get(request);
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
