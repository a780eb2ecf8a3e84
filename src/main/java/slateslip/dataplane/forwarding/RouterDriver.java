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
 * Feeds a router its inputs in order, has its outputs carried out, and wakes it when it asks for
 * it.
 */
public final class RouterDriver {
  private final RequestRouter router;
  private final EventLoop loop;
  private final LongSupplier microClock;
  private final Consumer<RouterOutput> actions;
  private final Deque<RouterInput> waiting = new ArrayDeque<>();
  private final TreeSet<Long> wakes = new TreeSet<>();
  private final WakeUpCounter wakeUps;
  private long scheduledWake = Long.MAX_VALUE;
  private Future<?> timer;
  private boolean feeding;

  /**
   * A driver on an event loop.
   *
   * @param microClock steady clock, in microseconds
   * @param actions carries out an output; inputs that arise meanwhile are taken after it
   * @param wakeUps counts the turns in which the router was woken
   */
  public RouterDriver(
      RequestRouter router,
      EventLoop loop,
      LongSupplier microClock,
      Consumer<RouterOutput> actions,
      WakeUpCounter wakeUps) {
    this.router = router;
    this.loop = loop;
    this.microClock = microClock;
    this.actions = actions;
    this.wakeUps = wakeUps;
  }

  /** Lets the router take an input; one that arises while another is taken waits its turn. */
  public void feed(RouterInput input) {
    waiting.add(input);
    if (feeding) {
      return;
    }
    feeding = true;
    try {
      while (!waiting.isEmpty()) {
        take(waiting.poll());
      }
    } finally {
      feeding = false;
    }
    scheduleWake();
  }

  private void take(RouterInput input) {
    for (RouterOutput output : router.handle(microClock.getAsLong(), input)) {
      if (output instanceof RouterOutput.WakeAt wake) {
        wakes.add(wake.atMicros());
      } else {
        actions.accept(output);
      }
    }
  }

  /** Wakes the router if it is due to be; saves the turn that its timer would take. */
  public void wakeIfDue() {
    if (microClock.getAsLong() >= scheduledWake) {
      wake();
    }
  }

  private void scheduleWake() {
    if (wakes.isEmpty() || wakes.first() >= scheduledWake) {
      return;
    }
    cancelTimer();
    scheduledWake = wakes.first();
    long delay = Math.max(0, scheduledWake - microClock.getAsLong());
    timer = loop.schedule(this::timerFired, delay, TimeUnit.MICROSECONDS);
  }

  private void timerFired() {
    wakeUps.attribute(WakeUpCause.ROUTER);
    wake();
  }

  private void wake() {
    long due = scheduledWake;
    cancelTimer();
    wakes.headSet(Math.max(due, microClock.getAsLong()), true).clear();
    feed(new RouterInput.Wake());
    scheduleWake();
  }

  private void cancelTimer() {
    scheduledWake = Long.MAX_VALUE;
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
