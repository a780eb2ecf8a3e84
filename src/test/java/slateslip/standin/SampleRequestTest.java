package slateslip.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.javalin.Javalin;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests the request that shows that a local fleet serves requests. */
final class SampleRequestTest {
  @Test
  void unavailableServiceIsRetriedUntilItServes() throws InterruptedException {
    AtomicInteger calls = new AtomicInteger();
    Javalin server = Javalin.create();
    server.post(
        SampleRequest.PATH,
        context -> context.status(calls.incrementAndGet() < 3 ? 503 : 200).result("id: 1\n"));
    server.start("127.0.0.1", 0);
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    try {
      boolean served =
          SampleRequest.send(
              "http://127.0.0.1:" + server.port(),
              new PrintStream(printed, true, StandardCharsets.UTF_8));
      assertThat(served, is(true));
    } finally {
      server.stop();
    }
    assertThat(calls.get(), is(3));
    assertThat(printed.toString(StandardCharsets.UTF_8), containsString("HTTP 200"));
  }
}
