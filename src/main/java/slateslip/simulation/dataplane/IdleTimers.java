package slateslip.simulation.dataplane;

import slateslip.routing.RouterInput;
import slateslip.simulation.EventQueue;

/** Tells the router of one data plane when a stream pauses for longer than it asked for. */
@SuppressWarnings("ReferenceEquality") // each attempt is an object of its own
final class IdleTimers {
  private final EventQueue loop;
  private final DataPlaneHost host;

  IdleTimers(EventQueue loop, DataPlaneHost host) {
    this.loop = loop;
    this.host = host;
  }

  /** An event of an attempt has come. */
  void heard(Exchange exchange, BackendCall call) {
    long limit = exchange.idleMicros.get(call.attempt());
    boolean first = exchange.heardMicros.put(call.attempt(), loop.nowMicros()) == null;
    if (limit > 0 && first) {
      loop.after(limit, () -> host.inbound(() -> check(exchange, call, limit)));
    }
  }

  private void check(Exchange exchange, BackendCall call, long limit) {
    if (exchange.live.get(call.attempt()) != call) {
      return;
    }
    long due = exchange.heardMicros.get(call.attempt()) + limit;
    if (loop.nowMicros() < due) {
      loop.at(due, () -> host.inbound(() -> check(exchange, call, limit)));
      return;
    }
    exchange.heardMicros.put(call.attempt(), loop.nowMicros());
    loop.after(limit, () -> host.inbound(() -> check(exchange, call, limit)));
    host.tell(new RouterInput.StreamIdle(exchange.id, call.attempt()));
  }
}
