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

/**
 * Tests that the handler rounds its waits up to whole milliseconds and counts each turn of the
 * event loop once.
 */
class CountingIoHandlerTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final List<Long> waits = new ArrayList<>();
  private final WakeUpCounter counter = new WakeUpCounter();
  private final CountingIoHandler handler = new CountingIoHandler(new RecordingHandler(), counter);

  @Test
  void waitForTimerIsRoundedUpToWholeMilliseconds() {
    handler.run(contextWithDelay(1));
    handler.run(contextWithDelay(4 * NANOS_PER_MILLI));
    handler.run(contextWithDelay(4 * NANOS_PER_MILLI + 400_000));
    assertThat(waits, is(List.of(NANOS_PER_MILLI, 4 * NANOS_PER_MILLI, 5 * NANOS_PER_MILLI)));
  }

  @Test
  void waitIsUnchangedWithoutTimerOrWithTimerThatIsDue() {
    handler.run(contextWithDelay(Long.MAX_VALUE));
    handler.run(contextWithDelay(0));
    handler.run(contextWithDelay(-5));
    assertThat(waits, is(List.of(Long.MAX_VALUE, 0L, -5L)));
  }

  @Test
  void eachTurnIsCountedOnceUnderItsFirstCause() {
    handler.run(contextWithDelay(0));
    counter.attribute(WakeUpCause.CLIENT);
    counter.attribute(WakeUpCause.BACKEND);
    handler.run(contextWithDelay(0));
    handler.run(contextWithDelay(0));
    counter.attribute(WakeUpCause.BACKEND);
    assertThat(counter.count(WakeUpCause.CLIENT), is(1L));
    assertThat(counter.count(WakeUpCause.BACKEND), is(1L));
    assertThat(counter.count(WakeUpCause.OTHER), is(1L));
    assertThat(counter.total(), is(3L));
  }

  private static IoHandlerContext contextWithDelay(long nanos) {
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
