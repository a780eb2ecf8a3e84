package slateslip.simulation.dataplane;

import slateslip.routing.RouterInput;
import slateslip.simulation.EventQueue;

/**
 * Notifies the router of one data plane when a stream is idle for longer than the idle timeout of
 * its attempt.
 */
@SuppressWarnings("ReferenceEquality") // calls are compared by identity
final class IdleTimers {
  private final EventQueue loop;
  private final DataPlaneHost host;

  IdleTimers(EventQueue loop, DataPlaneHost host) {
    this.loop = loop;
    this.host = host;
  }

  /** Records an event of an attempt; the first event starts the attempt's idle timer. */
  void eventReceived(Exchange exchange, BackendCall call) {
    long limit = exchange.idleTimeoutMicros.get(call.attempt());
    boolean first = exchange.lastActivityMicros.put(call.attempt(), loop.nowMicros()) == null;
    if (limit > 0 && first) {
      loop.after(limit, () -> host.inbound(() -> check(exchange, call, limit)));
    }
  }

  private void check(Exchange exchange, BackendCall call, long limit) {
    if (exchange.activeCalls.get(call.attempt()) != call) {
      return;
    }
    long due = exchange.lastActivityMicros.get(call.attempt()) + limit;
    if (loop.nowMicros() < due) {
      loop.at(due, () -> host.inbound(() -> check(exchange, call, limit)));
      return;
    }
    exchange.lastActivityMicros.put(call.attempt(), loop.nowMicros());
    loop.after(limit, () -> host.inbound(() -> check(exchange, call, limit)));
    host.deliver(new RouterInput.StreamIdle(exchange.id, call.attempt()));
  }
}
