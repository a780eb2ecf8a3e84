package slateslip.dataplane;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import slateslip.dataplane.forwarding.Forwarder;
import slateslip.dataplane.ingress.ClientIngress;

/**
 * Carries out a graceful shutdown. The data plane first serves requests as before, because new
 * clients may still be routed to this process. Then it stops listening, refuses new requests,
 * closes idle connections, and ends when no connection is left. Shortly before the end of the grace
 * period it ends all responses and waits until their bytes have been sent.
 */
final class GracefulShutdown {
  private static final long POLL_INTERVAL_MILLIS = 50;

  private final EventLoop loop;
  private final ClientIngress ingress;
  private final Forwarder forwarder;
  private final Runnable onEnd;
  private final long signalNanos;
  private final ShutdownSchedule schedule;
  private boolean refusing;
  private boolean aborted;

  /**
   * Creates a shutdown that has not started.
   *
   * @param signalNanos time of the termination signal on the steady clock, in nanoseconds; the
   *     event loop may handle the signal later
   * @param graceMillis length of the grace period, in milliseconds
   * @param onEnd called once, when no connection is open or the grace period is nearly over
   */
  GracefulShutdown(
      EventLoop loop,
      ClientIngress ingress,
      Forwarder forwarder,
      long signalNanos,
      long graceMillis,
      Runnable onEnd) {
    this.loop = loop;
    this.ingress = ingress;
    this.forwarder = forwarder;
    this.signalNanos = signalNanos;
    this.schedule = new ShutdownSchedule(graceMillis);
    this.onEnd = onEnd;
  }

  void start() {
    ingress.startShutdown();
    forwarder.startShutdown();
    poll();
  }

  private void poll() {
    if (currentStep() != ShutdownSchedule.Step.SERVE) {
      refuseNewRequests();
    }
    ShutdownSchedule.Step step = currentStep(); // the number of connections may have changed
    if (step == ShutdownSchedule.Step.END) {
      abort();
      onEnd.run();
      return;
    }
    if (step == ShutdownSchedule.Step.ABORT) {
      abort();
    }
    loop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private ShutdownSchedule.Step currentStep() {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos);
    return schedule.stepAt(elapsedMillis, ingress.connectionCount());
  }

  private void refuseNewRequests() {
    if (!refusing) {
      refusing = true;
      ingress.stopListening();
      ingress.refuseRequests(); // a new request might not finish within the grace period
    }
    ingress.closeIdle();
  }

  private void abort() {
    if (!aborted) {
      aborted = true;
      forwarder.abortAll();
    }
  }
}
