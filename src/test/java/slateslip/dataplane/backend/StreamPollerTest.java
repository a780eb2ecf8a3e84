package slateslip.dataplane.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.transport.LoopbackConnection;
import slateslip.eventloop.WakeUpCounter;

/**
 * Which connections are read together, and when one is left to the event loop again. Rounds are the
 * test's: the interval is an hour.
 */
class StreamPollerTest {
  private static final long AN_HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);

  private final BackendConnection connection =
      new BackendConnection(
          new BackendPool("b", "svc", new InetSocketAddress(0)), new DataPlaneMetrics());
  private LoopbackConnection loopback;
  private StreamPoller poller;

  @BeforeEach
  void connect() throws IOException {
    loopback = new LoopbackConnection(connection);
    poller = new StreamPoller(loopback.loop(), new WakeUpCounter(), AN_HOUR_MILLIS);
  }

  @AfterEach
  void close() throws IOException {
    loopback.close();
  }

  private void takeOver() {
    loopback.run(() -> poller.add(connection));
  }

  private void round() {
    loopback.run(poller::poll);
  }

  @Test
  void whatArrivesIsReadInTheNextRoundAndNotBefore() throws IOException {
    takeOver();
    loopback.write(10);
    assertThat(loopback.isReadByLoop(), is(false));
    assertThat(loopback.receivedBytes(), is(0));
    round();
    assertThat(loopback.receivedBytes(), is(10));
    assertThat(loopback.isReadByLoop(), is(false));
  }

  @Test
  void aStreamThatPausesIsLeftToTheEventLoop() {
    takeOver();
    round();
    assertThat(loopback.isReadByLoop(), is(false));
    round();
    assertThat(loopback.isReadByLoop(), is(true));
  }

  @Test
  void aStreamThatBringsMoreThanFitsIsLeftToTheEventLoop() throws IOException {
    takeOver();
    loopback.write(100_000);
    round();
    assertThat(loopback.isReadByLoop(), is(true));
  }

  @Test
  void theEndOfAConnectionIsFound() throws IOException {
    takeOver();
    loopback.peer().close();
    round();
    assertThat(loopback.ask(() -> loopback.channel().isOpen()), is(false));
  }

  @Test
  void oneThatWasLeftAloneIsNotRead() throws IOException {
    takeOver();
    loopback.run(() -> poller.remove(connection));
    loopback.write(10);
    round();
    assertThat(loopback.receivedBytes(), is(0));
  }
}
