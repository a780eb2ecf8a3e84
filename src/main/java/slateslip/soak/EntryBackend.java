package slateslip.soak;

import io.javalin.http.Context;
import slateslip.standin.BackendDescription;

/** A backend that accepts entries and returns each entry unchanged in the response. */
final class EntryBackend extends CountingBackend {
  EntryBackend(BackendDescription description, RunCounter runs) {
    super(description, runs);
  }

  @Override
  void run(Context context) {
    startResponse(context, 200);
    context.result(context.body());
  }
}
