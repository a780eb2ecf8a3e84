package slateslip.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * Netty's NIO handler with two additions: it counts the turns of its event loop, and it waits for
 * timers in whole milliseconds, rounded up. The selector counts in milliseconds and Netty rounds to
 * the nearest one, so that a loop that is woken up to half a millisecond early turns again and
 * again until its timer is due.
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

  /** Makes the handler of one event loop, whose turns are counted by {@code counter}. */
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
    counter.turnBegins();
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

  /** A wait that ends at its deadline or within a millisecond after it, and never before. */
  static long roundedUp(long delayNanos) {
    if (delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
      return delayNanos;
    }
    long millis = (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    return millis * NANOS_PER_MILLI;
  }

  /** What the event loop tells its handler, with the wait rounded up. */
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
