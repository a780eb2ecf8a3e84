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
 * TWICE: a request that may not be repeated, whose connection to its backend ends between any two
 * bytes, ran a second time elsewhere as long as its last byte had not left.
 */
class PartlySentRequestTest {
  /** Ends with an error once it has taken so many bytes, if it is the first of its test. */
  private static final class CutSocket extends PollableSocketChannel {
    private long left;

    CutSocket(long bytes) {
      left = bytes;
    }

    @Override
    protected void writeToSocket(ChannelOutboundBuffer outbound) throws Exception {
      while (outbound.current() instanceof ByteBuf bytes && left > 0) {
        int count = (int) Math.min(left, bytes.readableBytes());
        bytes.getBytes(bytes.readerIndex(), javaChannel(), count);
        left -= count;
        outbound.removeBytes(count);
      }
      throw new IOException("reset by the test");
    }
  }

  /** Takes one request, and then nothing more, as its peer has reset it. */
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

  /** Attempts of one request, how its client was answered, and bytes of it that had left. */
  private record Trial(List<Kind> ends, int status, boolean partial) {}

  private static Trial cutAfter(long bytes) throws IOException {
    try (DataPlaneFixture fixture = fixtureWithFirst(() -> new CutSocket(bytes));
        ServerSocket cut = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      fixture.router.repeatable = false;
      fixture.listed(cut.getInetAddress().getHostAddress() + ":" + cut.getLocalPort());
      ScriptedPeer other =
          fixture.backend((message, socket) -> DataPlaneFixture.serve(message, socket, "", "good"));
      int status = fixture.call("a1").status();
      boolean repeated = !other.requests.isEmpty();
      assertThat("repeated after " + bytes + " bytes", repeated, is(bytes == 0));
      boolean[] partial = new boolean[1];
      fixture.onLoop(() -> partial[0] = fixture.metrics.partlySent > 0);
      return new Trial(fixture.router.ends(), status, partial[0]);
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
  void isRepeatedIfAKeptConnectionTakesNoByte() throws IOException {
    try (DataPlaneFixture fixture = fixtureWithFirst(ResetWhileIdleSocket::new)) {
      fixture.router.repeatable = false;
      for (int i = 0; i < 2; i++) {
        fixture.backend(
            (message, socket) ->
                DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=60\r\n", "good"));
      }
      assertThat(fixture.call("a1").body(), is("good"));
      assertThat(fixture.call("a2").body(), is("good"));
      // The client reads the response before the event loop records the outcome of the attempt.
      DataPlaneFixture.await(() -> fixture.router.ends().size() >= 3);
      assertThat(fixture.router.ends(), is(List.of(SUCCESS, NOT_SENT, SUCCESS)));
    }
  }

  @Test
  void isRepeatedOnlyIfNoByteHasLeft() throws IOException {
    Trial none = cutAfter(0);
    assertThat(none.ends(), is(List.of(NOT_SENT, SUCCESS)));
    assertThat(none.status(), is(200));
    long bytes = 1;
    Trial trial = cutAfter(bytes);
    while (trial.partial()) {
      assertThat("cut after " + bytes, trial.ends(), is(List.of(BROKEN)));
      assertThat("cut after " + bytes, trial.status(), is(502));
      bytes++;
      trial = cutAfter(bytes);
    }
    assertThat(bytes, greaterThan(100L)); // head and body
    assertThat(trial.ends(), is(List.of(BROKEN)));
  }
}
