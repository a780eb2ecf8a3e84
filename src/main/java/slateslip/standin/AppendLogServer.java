package slateslip.standin;

import io.javalin.http.Context;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * Stand-in for an application backend that assigns consecutive numbers to the entries that it
 * receives. The server rejects requests while all of its slots are in use.
 */
final class AppendLogServer extends StandInServer {
  private final Semaphore slots;
  private final AtomicLong entries = new AtomicLong();

  AppendLogServer(BackendDescription description) {
    super(description);
    slots = new Semaphore(description.slots());
  }

  @Override
  protected BackendLoad load() {
    int running = description().slots() - slots.availablePermits();
    return new BackendLoad(running, 0, description().slots());
  }

  @Override
  protected void report(Context context) {
    context.status(404).result("");
  }

  @Override
  protected void serve(Context context) {
    if (!slots.tryAcquire()) {
      reject(context, 503, "full");
      return;
    }
    try {
      startResponse(context, 200);
      context.contentType("application/json");
      context.result("{\"entry\":" + entries.incrementAndGet() + "}\n");
    } finally {
      slots.release();
    }
  }
}
