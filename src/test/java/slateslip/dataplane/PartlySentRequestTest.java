package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.BROKEN;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.NOT_SENT;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.SUCCESS;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.transport.PollableSocketChannel;
import slateslip.loadbalancer.net.ScriptedPeer;
import slateslip.routing.KeyLease;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;

/**
 * Guards against a second execution of a request that may not be retried. When the connection to
 * the backend ended after a part of the request had been sent, the request was retried at another
 * backend as long as its last byte had not been sent. The test ends the connection after every
 * number of bytes.
 */
class PartlySentRequestTest {
  /** Accepts this number of bytes and then fails. */
  private static final class FailingSocket extends PollableSocketChannel {
    private long remainingBytes;

    FailingSocket(long bytes) {
      remainingBytes = bytes;
    }

    @Override
    protected void writeToSocket(ChannelOutboundBuffer outbound) throws Exception {
      while (outbound.current() instanceof ByteBuf bytes && remainingBytes > 0) {
        int count = (int) Math.min(remainingBytes, bytes.readableBytes());
        bytes.getBytes(bytes.readerIndex(), javaChannel(), count);
        remainingBytes -= count;
        outbound.removeBytes(count);
      }
      throw new IOException("reset by the test");
    }
  }

  /**
   * Accepts the first write and fails all later ones, like a connection that the peer resets while
   * it is idle.
   */
  private static final class ResetWhileIdleSocket extends PollableSocketChannel {
    private boolean used;

    @Override
    protected void writeToSocket(ChannelOutboundBuffer outbound) throws Exception {
      if (used) {
        throw new IOException("reset by the test");
      }
      used = true;
      super.writeToSocket(outbound);
    }
  }

  /**
   * Outcomes of the attempts of one request, the status that the client received, and whether the
   * request was partly sent.
   */
  private record CutResult(List<Kind> outcomes, int status, boolean partlySent) {}

  private static CutResult cutAfter(long bytes) throws IOException {
    try (DataPlaneFixture fixture = fixtureWithFirst(() -> new FailingSocket(bytes));
        ServerSocket failingBackend = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      fixture.router.retriesBrokenAttempts = false;
      fixture.listBackend(
          failingBackend.getInetAddress().getHostAddress() + ":" + failingBackend.getLocalPort());
      ScriptedPeer other =
          fixture.backend((message, socket) -> DataPlaneFixture.serve(message, socket, "", "good"));
      int status = fixture.call("a1").status();
      boolean retried = !other.requests.isEmpty();
      assertThat("retried after " + bytes + " bytes", retried, is(bytes == 0));
      boolean[] partlySent = new boolean[1];
      fixture.onLoop(() -> partlySent[0] = fixture.metrics.partlySent > 0);
      return new CutResult(fixture.router.outcomes(), status, partlySent[0]);
    }
  }

  private static DataPlaneFixture fixtureWithFirst(Supplier<PollableSocketChannel> firstSocket)
      throws IOException {
    AtomicBoolean first = new AtomicBoolean(true);
    return new DataPlaneFixture(
        null,
        KeyLease.notRequired(),
        () -> first.getAndSet(false) ? firstSocket.get() : new PollableSocketChannel());
  }

  @Test
  void requestIsRetriedIfAReusedConnectionAcceptsNoByte() throws IOException {
    try (DataPlaneFixture fixture = fixtureWithFirst(ResetWhileIdleSocket::new)) {
      fixture.router.retriesBrokenAttempts = false;
      for (int i = 0; i < 2; i++) {
        fixture.backend(
            (message, socket) ->
                DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=60\r\n", "good"));
      }
      assertThat(fixture.call("a1").body(), is("good"));
      assertThat(fixture.call("a2").body(), is("good"));
      // The client reads the response before the event loop records the outcome of the attempt.
      DataPlaneFixture.await(() -> fixture.router.outcomes().size() >= 3);
      assertThat(fixture.router.outcomes(), is(List.of(SUCCESS, NOT_SENT, SUCCESS)));
    }
  }

  @Test
  void requestIsRetriedOnlyIfNoByteWasSent() throws IOException {
    CutResult none = cutAfter(0);
    assertThat(none.outcomes(), is(List.of(NOT_SENT, SUCCESS)));
    assertThat(none.status(), is(200));
    long bytes = 1;
    CutResult result = cutAfter(bytes);
    while (result.partlySent()) {
      assertThat("cut after " + bytes, result.outcomes(), is(List.of(BROKEN)));
      assertThat("cut after " + bytes, result.status(), is(502));
      bytes++;
      result = cutAfter(bytes);
    }
    assertThat(bytes, greaterThan(100L)); // the cuts covered both head and body
    assertThat(result.outcomes(), is(List.of(BROKEN)));
  }
}
