package slateslip.dataplane.forwarding;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import slateslip.eventloop.WakeUpCause;
import slateslip.eventloop.WakeUpCounter;
import slateslip.routing.RequestRouter;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterOutput;

/**
 * Passes inputs to a router in order, passes the router's outputs to a handler, and wakes the
 * router at the times that the router requests. Confined to the event loop.
 */
public final class RouterDriver {
  private final RequestRouter router;
  private final EventLoop loop;
  private final LongSupplier microClock;
  private final Consumer<RouterOutput> outputHandler;
  private final Deque<RouterInput> pendingInputs = new ArrayDeque<>();
  private final TreeSet<Long> wakeTimes = new TreeSet<>();
  private final WakeUpCounter wakeUps;
  private long scheduledWakeMicros = Long.MAX_VALUE;
  private Future<?> timer;
  private boolean feeding;

  /**
   * Creates a driver that schedules the router's wake-ups on an event loop.
   *
   * @param microClock monotonic clock, in microseconds
   * @param outputHandler executes an output; inputs that arise during the call are handled after
   *     all outputs of the current input
   * @param wakeUps counts the turns of the event loop in which the router's timer fired
   */
  public RouterDriver(
      RequestRouter router,
      EventLoop loop,
      LongSupplier microClock,
      Consumer<RouterOutput> outputHandler,
      WakeUpCounter wakeUps) {
    this.router = router;
    this.loop = loop;
    this.microClock = microClock;
    this.outputHandler = outputHandler;
    this.wakeUps = wakeUps;
  }

  /**
   * Passes an input to the router. An input that arises while another input is handled is queued
   * and handled afterwards.
   */
  public void feed(RouterInput input) {
    pendingInputs.add(input);
    if (feeding) {
      return;
    }
    feeding = true;
    try {
      while (!pendingInputs.isEmpty()) {
        handle(pendingInputs.poll());
      }
    } finally {
      feeding = false;
    }
    scheduleWake();
  }

  private void handle(RouterInput input) {
    for (RouterOutput output : router.handle(microClock.getAsLong(), input)) {
      if (output instanceof RouterOutput.WakeAt wake) {
        wakeTimes.add(wake.atMicros());
      } else {
        outputHandler.accept(output);
      }
    }
  }

  /**
   * Wakes the router if its next requested wake-up time has passed. A call from a periodic task
   * saves the event loop turn that the router's own timer would cause.
   */
  public void wakeIfDue() {
    if (microClock.getAsLong() >= scheduledWakeMicros) {
      wake();
    }
  }

  private void scheduleWake() {
    if (wakeTimes.isEmpty() || wakeTimes.first() >= scheduledWakeMicros) {
      return;
    }
    cancelTimer();
    scheduledWakeMicros = wakeTimes.first();
    long delay = Math.max(0, scheduledWakeMicros - microClock.getAsLong());
    timer = loop.schedule(this::timerFired, delay, TimeUnit.MICROSECONDS);
  }

  private void timerFired() {
    wakeUps.attribute(WakeUpCause.ROUTER);
    wake();
  }

  private void wake() {
    long due = scheduledWakeMicros;
    cancelTimer();
    wakeTimes.headSet(Math.max(due, microClock.getAsLong()), true).clear();
    feed(new RouterInput.Wake());
    scheduleWake();
  }

  private void cancelTimer() {
    scheduledWakeMicros = Long.MAX_VALUE;
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
