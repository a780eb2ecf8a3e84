package slateslip.simulation.agents;

import java.util.List;
import java.util.SplittableRandom;
import slateslip.distribution.BackendSession;
import slateslip.simulation.EventQueue;

/**
 * The backends at one address, one incarnation after the other: each calls an agent at regular
 * times, and leaves by draining, by DELETE alone, or without a word.
 */
final class SimulatedBackend {
  static final long HEARTBEAT = 1_200_000;
  private static final long PATIENCE = 1_000_000;
  private static final long MIN_LIFETIME = 2_000_000;
  private static final long MAX_LIFETIME = 14_000_000;
  private static final long DRAIN = 2_300_000;
  private static final long UNACKNOWLEDGED_DRAIN = 4_000_000;
  private static final long REUSE = 2_000_000;
  private static final long MAX_LATE = 4_000_000;
  private static final int LATE_EVERY = 25;
  private static final int ATTEMPTS = 6;
  private static final int SERVICES = 2;

  /** How an incarnation ends. */
  enum ShutdownMode {
    DRAINS_FIRST,
    DELETES_FIRST,
    CRASHES
  }

  /** One life of a backend. */
  final class Incarnation {
    private final String id;
    private final long startedAt;
    private final String service;
    private long sequence;
    private boolean draining;
    private boolean ended;
    private boolean departing;
    private boolean departureAcknowledged;
    private long drainAcknowledgedAt = Long.MAX_VALUE;
    private long endedAt = Long.MAX_VALUE;
    private long acknowledgedAt;

    private Incarnation(String id, String service) {
      this.id = id;
      this.service = service;
      startedAt = events.nowMicros();
    }

    String id() {
      return id;
    }

    /** Since when it must not get new requests from data planes in touch. */
    long drainAcknowledgedAt() {
      return drainAcknowledgedAt;
    }

    /** When it ended; never yet if it lives. */
    long endedAt() {
      return endedAt;
    }

    long startedAt() {
      return startedAt;
    }

    /** Whether it is up and wants requests. */
    boolean isReady() {
      return !ended && !draining && !departing;
    }

    long acknowledgedAt() {
      return acknowledgedAt;
    }

    @Override
    public String toString() {
      return "%s %s, started %d, acknowledged %d, leaving acknowledged %d, ended %d"
          .formatted(
              id,
              isReady() ? "ready" : "not ready",
              startedAt / 1_000,
              acknowledgedAt / 1_000,
              drainAcknowledgedAt / 1_000,
              endedAt / 1_000);
    }

    private BackendSession nextSession() {
      sequence++;
      return new BackendSession(id, service, address, "z", "v1", 8, draining, 0, sequence);
    }
  }

  private final AgentWorld world;
  private final EventQueue events;
  private final SplittableRandom random;
  private final String address;
  private final List<Incarnation> all;
  private Incarnation current;
  private ControlMachine agent;
  private boolean endless;
  private int incarnations;

  /**
   * Backends at an address.
   *
   * @param all takes each incarnation that is started
   */
  SimulatedBackend(
      AgentWorld world,
      EventQueue events,
      SplittableRandom random,
      String address,
      List<Incarnation> all) {
    this.world = world;
    this.events = events;
    this.random = random;
    this.address = address;
    this.all = all;
  }

  void start() {
    incarnations++;
    String service = "s" + random.nextInt(SERVICES);
    Incarnation started = new Incarnation("i-" + address + "-" + incarnations, service);
    current = started;
    all.add(started);
    sendHeartbeat(started);
    events.after(random.nextLong(MIN_LIFETIME, MAX_LIFETIME), () -> leave(started));
  }

  /** The incarnation that lives now stays until the end. */
  void stay() {
    endless = true;
  }

  private void sendHeartbeat(Incarnation own) {
    if (own.ended) {
      return;
    }
    call(own, ATTEMPTS, own.nextSession());
    events.after(HEARTBEAT, () -> sendHeartbeat(own));
  }

  private void call(Incarnation own, int attemptsLeft, BackendSession session) {
    if (attemptsLeft == 0 || own.ended) {
      return;
    }
    long late = random.nextInt(LATE_EVERY) == 0 ? random.nextLong(MAX_LATE) : 0;
    ControlMachine called = calledAgent();
    boolean[] over = {false};
    events.after(
        late,
        () ->
            world.heartbeat(
                called,
                session,
                acknowledged -> {
                  if (acknowledged) {
                    acknowledged(own, session);
                  }
                  tryNext(own, attemptsLeft, session, over, acknowledged);
                },
                () -> tryNext(own, attemptsLeft, session, over, false)));
    events.after(PATIENCE, () -> tryNext(own, attemptsLeft, session, over, false));
  }

  private ControlMachine calledAgent() {
    if (agent == null || !world.controlMachines().contains(agent)) {
      agent = world.controlMachines().get(random.nextInt(world.controlMachines().size()));
    }
    return agent;
  }

  private void tryNext(
      Incarnation own,
      int attemptsLeft,
      BackendSession session,
      boolean[] over,
      boolean acknowledged) {
    if (over[0]) {
      return;
    }
    over[0] = true;
    if (!acknowledged && own == current) {
      agent = null;
      call(own, attemptsLeft - 1, session);
    }
  }

  private void acknowledged(Incarnation own, BackendSession session) {
    own.acknowledgedAt = events.nowMicros();
    if (session.draining() && own.drainAcknowledgedAt == Long.MAX_VALUE) {
      world.rules().drainAcknowledged(own.id);
      own.drainAcknowledgedAt = events.nowMicros();
      events.after(DRAIN, () -> deregister(own, ATTEMPTS));
    }
  }

  private void leave(Incarnation own) {
    if (endless) {
      return;
    }
    ShutdownMode shutdownMode = ShutdownMode.values()[random.nextInt(ShutdownMode.values().length)];
    switch (shutdownMode) {
      case DRAINS_FIRST -> drain(own);
      case DELETES_FIRST -> {
        own.draining = true;
        deregister(own, ATTEMPTS);
        events.after(DRAIN, () -> end(own));
      }
      case CRASHES -> end(own);
    }
  }

  private void drain(Incarnation own) {
    own.draining = true;
    call(own, ATTEMPTS, own.nextSession());
    events.after(UNACKNOWLEDGED_DRAIN, () -> deregister(own, ATTEMPTS));
    events.after(UNACKNOWLEDGED_DRAIN, () -> end(own));
  }

  private void deregister(Incarnation own, int attemptsLeft) {
    if (own.departureAcknowledged || attemptsLeft == 0) {
      return;
    }
    own.departing = true;
    boolean[] over = {false};
    Runnable again =
        () -> {
          if (!over[0]) {
            over[0] = true;
            agent = null;
            deregister(own, attemptsLeft - 1);
          }
        };
    world.deregister(
        calledAgent(),
        own.id,
        acknowledged -> {
          if (acknowledged) {
            over[0] = true;
            own.departureAcknowledged = true;
            world.rules().drainAcknowledged(own.id);
            own.drainAcknowledgedAt = Math.min(own.drainAcknowledgedAt, events.nowMicros());
          } else {
            again.run();
          }
        },
        again);
    events.after(PATIENCE, again);
  }

  private void end(Incarnation own) {
    if (own.ended) {
      return;
    }
    own.ended = true;
    own.endedAt = events.nowMicros();
    events.after(REUSE + random.nextLong(REUSE), this::start);
  }
}
