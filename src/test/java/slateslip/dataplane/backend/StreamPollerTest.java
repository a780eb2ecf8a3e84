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
 * Tests which connections are polled, and when a connection is returned to the event loop. The
 * interval is one hour, so that the connections are polled only when the test calls the poller.
 */
class StreamPollerTest {
  private static final long ONE_HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);

  private final BackendConnection connection =
      new BackendConnection(
          new BackendPool("b", "svc", new InetSocketAddress(0)), new DataPlaneMetrics());
  private LoopbackConnection loopback;
  private StreamPoller poller;

  @BeforeEach
  void connect() throws IOException {
    loopback = new LoopbackConnection(connection);
    poller = new StreamPoller(loopback.loop(), new WakeUpCounter(), ONE_HOUR_MILLIS);
  }

  @AfterEach
  void close() throws IOException {
    loopback.close();
  }

  private void addToPoller() {
    loopback.run(() -> poller.add(connection));
  }

  private void poll() {
    loopback.run(poller::poll);
  }

  @Test
  void dataIsReadInTheNextPollAndNotBefore() throws IOException {
    addToPoller();
    loopback.write(10);
    assertThat(loopback.isReadByLoop(), is(false));
    assertThat(loopback.receivedBytes(), is(0));
    poll();
    assertThat(loopback.receivedBytes(), is(10));
    assertThat(loopback.isReadByLoop(), is(false));
  }

  @Test
  void pausingStreamIsReturnedToTheEventLoop() {
    addToPoller();
    poll();
    assertThat(loopback.isReadByLoop(), is(false));
    poll();
    assertThat(loopback.isReadByLoop(), is(true));
  }

  @Test
  void streamWithMoreDataThanTheBufferIsReturnedToTheEventLoop() throws IOException {
    addToPoller();
    loopback.write(100_000);
    poll();
    assertThat(loopback.isReadByLoop(), is(true));
  }

  @Test
  void closedConnectionIsDetected() throws IOException {
    addToPoller();
    loopback.peer().close();
    poll();
    assertThat(loopback.ask(() -> loopback.channel().isOpen()), is(false));
  }

  @Test
  void removedConnectionIsNotRead() throws IOException {
    addToPoller();
    loopback.run(() -> poller.remove(connection));
    loopback.write(10);
    poll();
    assertThat(loopback.receivedBytes(), is(0));
  }
}
