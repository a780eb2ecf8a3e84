package slateslip.dataplane.subscription;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.transport.LoopbackConnection;

/**
 * Tests when a connection to a control agent is read by the event loop and when once per tick. The
 * test triggers the ticks.
 */
class ControlConnectionTest {
  private LoopbackConnection loopback;
  private ControlConnection connection;

  @BeforeEach
  void connect() throws IOException {
    loopback = new LoopbackConnection(new ChannelInboundHandlerAdapter());
    connection = new ControlConnection(loopback.channel());
  }

  @AfterEach
  void close() throws IOException {
    loopback.close();
  }

  private void tick(boolean mayWait) {
    loopback.run(() -> connection.tick(mayWait));
  }

  @Test
  void eventLoopReadsMessagesThatMayNotWait() {
    tick(false);
    assertThat(loopback.isReadByLoop(), is(true));
  }

  @Test
  void connectionWithLittleTrafficIsReadOncePerTick() throws IOException {
    tick(true);
    loopback.write(100);
    assertThat(loopback.isReadByLoop(), is(false));
    assertThat(loopback.receivedBytes(), is(0));
    tick(true);
    assertThat(loopback.receivedBytes(), is(100));
    assertThat(loopback.isReadByLoop(), is(false));
  }

  @Test
  void eventLoopReadsAConnectionWithMuchTrafficUntilTheNextQuietTick() {
    loopback.run(() -> connection.countReceived(100_000));
    tick(true);
    assertThat(loopback.isReadByLoop(), is(true));
    tick(true);
    assertThat(loopback.isReadByLoop(), is(false));
  }

  @Test
  void eventLoopReadsTheRestWhenTheBufferIsFilled() throws IOException {
    tick(true);
    loopback.write(20_000);
    tick(true);
    assertThat(loopback.isReadByLoop(), is(true));
  }

  @Test
  void endOfTheConnectionIsDetectedAtATick() throws IOException {
    tick(true);
    loopback.peer().close();
    tick(true);
    assertThat(loopback.ask(() -> loopback.channel().isOpen()), is(false));
  }
}
