package slateslip.soak;

import io.javalin.http.Context;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.standin.BackendDescription;
import slateslip.standin.StandInServer;

/**
 * A stand-in backend without a concurrency limit that counts how often each request is executed.
 */
abstract class CountingBackend extends StandInServer {
  private static final int NOT_FOUND = 404;

  private final RunCounter runs;

  CountingBackend(BackendDescription description, RunCounter runs) {
    super(description);
    this.runs = runs;
  }

  /** Responds to a request that has been counted as executed. */
  abstract void run(Context context);

  @Override
  protected BackendLoad load() {
    return new BackendLoad(0, 0, description().slots());
  }

  @Override
  protected void report(Context context) {
    context.status(NOT_FOUND).result("");
  }

  @Override
  protected void serve(Context context) {
    runs.recordRun(context.header(ATTEMPT_ID));
    if (context.header(SoakQuota.TENANT_HEADER) != null) {
      runs.recordTenantRun(SoakQuota.units(context.header(SoakQuota.USAGE_HEADER)));
    }
    run(context);
  }
}
