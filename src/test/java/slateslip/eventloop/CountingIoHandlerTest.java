package slateslip.eventloop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What an event loop's handler is told to wait for, and that each of its turns is counted. */
class CountingIoHandlerTest {
  private static final long MILLI = 1_000_000;

  private final List<Long> waits = new ArrayList<>();
  private final WakeUpCounter counter = new WakeUpCounter();
  private final CountingIoHandler handler = new CountingIoHandler(new RecordingHandler(), counter);

  @Test
  void aTimerIsWaitedForInWholeMillisecondsAndNeverTooShort() {
    handler.run(waitOf(1));
    handler.run(waitOf(4 * MILLI));
    handler.run(waitOf(4 * MILLI + 400_000));
    assertThat(waits, is(List.of(MILLI, 4 * MILLI, 5 * MILLI)));
  }

  @Test
  void noTimerAndOneThatIsDueAreToldUnchanged() {
    handler.run(waitOf(Long.MAX_VALUE));
    handler.run(waitOf(0));
    handler.run(waitOf(-5));
    assertThat(waits, is(List.of(Long.MAX_VALUE, 0L, -5L)));
  }

  @Test
  void eachTurnIsCountedOnceByWhatIsToldFirstInIt() {
    handler.run(waitOf(0));
    counter.attribute(WakeUpCause.CLIENT);
    counter.attribute(WakeUpCause.BACKEND);
    handler.run(waitOf(0));
    handler.run(waitOf(0));
    counter.attribute(WakeUpCause.BACKEND);
    assertThat(counter.count(WakeUpCause.CLIENT), is(1L));
    assertThat(counter.count(WakeUpCause.BACKEND), is(1L));
    assertThat(counter.count(WakeUpCause.OTHER), is(1L));
    assertThat(counter.total(), is(3L));
  }

  private static IoHandlerContext waitOf(long nanos) {
    return new IoHandlerContext() {
      @Override
      public boolean canBlock() {
        return true;
      }

      @Override
      public long delayNanos(long currentTimeNanos) {
        return nanos;
      }

      @Override
      public long deadlineNanos() {
        return nanos;
      }
    };
  }

  private final class RecordingHandler implements IoHandler {
    @Override
    public int run(IoHandlerContext context) {
      waits.add(context.delayNanos(0));
      return 0;
    }

    @Override
    public IoRegistration register(IoHandle handle) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void wakeup() {}

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
      return false;
    }
  }
}
