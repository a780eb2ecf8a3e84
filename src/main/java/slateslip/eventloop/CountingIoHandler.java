package slateslip.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * Wrapper of Netty's NIO handler that counts the turns (iterations) of the event loop and rounds
 * the wait for the next timer up to whole milliseconds. The selector waits in whole milliseconds
 * and Netty rounds the wait to the nearest millisecond. Without this rounding, an event loop that
 * wakes up to half a millisecond early repeats its turn until the timer is due.
 */
public final class CountingIoHandler implements IoHandler {
  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final IoHandler delegate;
  private final WakeUpCounter counter;
  private final RoundedWait wait = new RoundedWait();

  CountingIoHandler(IoHandler delegate, WakeUpCounter counter) {
    this.delegate = delegate;
    this.counter = counter;
  }

  /** Returns a factory of handlers that count the turns of their event loop in {@code counter}. */
  public static IoHandlerFactory newFactory(WakeUpCounter counter) {
    IoHandlerFactory nio = NioIoHandler.newFactory();
    return executor -> new CountingIoHandler(nio.newHandler(executor), counter);
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public int run(IoHandlerContext context) {
    counter.beginTurn();
    wait.context = context;
    return delegate.run(wait);
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(handle);
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> handleType) {
    return delegate.isCompatible(handleType);
  }

  /**
   * Rounds a delay in nanoseconds up to whole milliseconds, so that the wait never ends before the
   * deadline. Returns a delay that has passed, or that is too large to round, unchanged.
   */
  static long roundedUp(long delayNanos) {
    if (delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
      return delayNanos;
    }
    long millis = (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    return millis * NANOS_PER_MILLI;
  }

  /**
   * The context that the event loop passes to its handler, with the wait for the next timer rounded
   * up.
   */
  private static final class RoundedWait implements IoHandlerContext {
    private IoHandlerContext context;

    @Override
    public boolean canBlock() {
      return context.canBlock();
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
      return roundedUp(context.delayNanos(currentTimeNanos));
    }

    @Override
    public long deadlineNanos() {
      return context.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
      context.reportActiveIoTime(activeNanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return context.shouldReportActiveIoTime();
    }
  }
}
