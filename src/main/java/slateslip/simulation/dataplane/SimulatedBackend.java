package slateslip.simulation.dataplane;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import slateslip.distribution.BackendSession;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterInput.ProbeOutcome;
import slateslip.simulation.EventQueue;

/**
 * The machine of a simulated backend; each start of the backend process is a new incarnation with a
 * new id.
 */
abstract class SimulatedBackend {
  /** The state of the backend process and its reachability. */
  enum Condition {
    UP,
    DRAINING,
    /** No process listens; connections are refused. */
    DOWN,
    /** The machine does not respond at all; connections time out. */
    DARK
  }

  final EventQueue loop;
  final SimulatedNetwork network;
  final RuleChecker checker;

  private final String service;
  private final int index;
  private final int zone;
  private final int slots;
  private final Set<BackendCall> open = new LinkedHashSet<>();
  private Condition condition = Condition.UP;
  private int incarnation = 1;
  private long drainAcknowledgedMicros = -1;
  private final Deque<Runnable> delayedReplies = new ArrayDeque<>();
  private long stalledUntilMicros;

  SimulatedBackend(
      EventQueue loop,
      SimulatedNetwork network,
      RuleChecker checker,
      String service,
      int index,
      int zone,
      int slots) {
    this.loop = loop;
    this.network = network;
    this.checker = checker;
    this.service = service;
    this.index = index;
    this.zone = zone;
    this.slots = slots;
  }

  /** Accepts a call that is addressed to the current incarnation. */
  abstract void accept(BackendCall call);

  /** Cancels a call whose connection was closed. */
  abstract void abandon(BackendCall call);

  /** Discards all calls and caches, as at a start of the process. */
  abstract void reset();

  abstract BackendLoad load();

  /** Returns whether the queue is full, so that a probe reports an overloaded backend. */
  abstract boolean full();

  String id() {
    return service + "-" + index + "-" + incarnation;
  }

  /** Returns whether the given incarnation is running and reachable. */
  boolean runs(String incarnationId) {
    boolean reachable = condition == Condition.UP || condition == Condition.DRAINING;
    return reachable && id().equals(incarnationId);
  }

  String service() {
    return service;
  }

  int zone() {
    return zone;
  }

  Condition condition() {
    return condition;
  }

  /**
   * Returns the time at which the control plane acknowledged the draining, or -1 if there was no
   * acknowledgement.
   */
  long drainAcknowledgedMicros() {
    return drainAcknowledgedMicros;
  }

  void drainAcknowledged() {
    drainAcknowledgedMicros = loop.nowMicros();
  }

  int openCalls() {
    return open.size();
  }

  BackendSession session() {
    return new BackendSession(
        id(),
        service,
        "10.0." + zone + "." + (index + 1) + ":8080",
        WorldPlans.zoneName(zone),
        "v1",
        slots,
        condition == Condition.DRAINING,
        0,
        incarnation);
  }

  /** Handles an incoming call; rejects a call that is addressed to another incarnation. */
  void arrive(BackendCall call) {
    checker.reached(call, this);
    if (!call.backendId().equals(id())) {
      network.reply(call, this, new BackendReply.OtherInstance(), null);
      return;
    }
    open.add(call);
    accept(call);
  }

  /** Handles a connection that the data plane has closed. */
  void connectionClosed(BackendCall call) {
    if (open.remove(call)) {
      abandon(call);
    }
  }

  /** Sends an event of a stream; the last event ends the call. */
  void event(BackendCall call, long eventId, boolean last) {
    reply(call, new BackendReply.Event(eventId, last));
    if (last) {
      open.remove(call);
    }
  }

  /**
   * Holds back all replies until this time has passed; the backend continues to execute requests
   * meanwhile.
   */
  void stall(long forMicros) {
    stalledUntilMicros = Math.max(stalledUntilMicros, loop.nowMicros() + forMicros);
    loop.at(stalledUntilMicros, this::release);
  }

  private boolean stalled() {
    return loop.nowMicros() < stalledUntilMicros;
  }

  private void reply(BackendCall call, BackendReply reply) {
    if (stalled() || !delayedReplies.isEmpty()) {
      delayedReplies.add(() -> network.reply(call, this, reply, load()));
    } else {
      network.reply(call, this, reply, load());
    }
  }

  private void release() {
    while (!stalled() && !delayedReplies.isEmpty()) {
      delayedReplies.poll().run();
    }
  }

  /** Sends a complete response or a failure and ends the call. */
  void finish(BackendCall call, BackendReply reply) {
    open.remove(call);
    reply(call, reply);
  }

  /** Returns the outcome of a health probe at the current time. */
  ProbeOutcome probe() {
    if (stalled()) {
      return ProbeOutcome.TIMEOUT;
    }
    return switch (condition) {
      case UP -> full() ? ProbeOutcome.FULL : ProbeOutcome.HEALTHY;
      case DRAINING -> ProbeOutcome.UNHEALTHY;
      case DOWN -> ProbeOutcome.UNREACHABLE;
      case DARK -> ProbeOutcome.TIMEOUT;
    };
  }

  void drain() {
    condition = Condition.DRAINING;
  }

  /** Stops the process; resets its connections unless {@code dark} is true. */
  void stop(boolean dark) {
    condition = dark ? Condition.DARK : Condition.DOWN;
    for (BackendCall call : List.copyOf(open)) {
      checker.crashedDuring(call, this);
      if (!dark) {
        network.reply(call, this, new BackendReply.Reset(), null);
      }
    }
    open.clear();
    delayedReplies.clear();
    reset();
  }

  /** Starts the process as a new incarnation. */
  void restart() {
    stalledUntilMicros = 0;
    condition = Condition.UP;
    incarnation++;
    drainAcknowledgedMicros = -1;
  }
}
