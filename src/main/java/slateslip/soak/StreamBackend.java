package slateslip.soak;

import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import slateslip.standin.BackendDescription;

/**
 * A backend that streams the number of events that the request body specifies. If the body
 * specifies a stall, the stream pauses before one event for the given time and continues
 * afterwards.
 */
final class StreamBackend extends CountingBackend {
  StreamBackend(BackendDescription description, RunCounter runs) {
    super(description, runs);
  }

  @Override
  void run(Context context) {
    StreamSpec spec = StreamSpec.parse(context.body());
    String last = context.header("Last-Event-Id");
    int first = last == null ? 1 : Integer.parseInt(last) + 1;
    HttpServletResponse response = startResponse(context, 200);
    response.setContentType("text/event-stream");
    try {
      stream(response.getOutputStream(), spec, first);
    } catch (IOException gone) {
      // the data plane has closed the connection
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private static void stream(OutputStream output, StreamSpec spec, int first)
      throws IOException, InterruptedException {
    for (int id = first; id <= spec.events(); id++) {
      TimeUnit.MILLISECONDS.sleep(id == spec.stallBefore() ? spec.stallMillis() : spec.gapMillis());
      output.write(spec.event(id).getBytes(StandardCharsets.UTF_8));
      output.flush();
    }
  }
}
