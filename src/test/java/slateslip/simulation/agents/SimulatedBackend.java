package slateslip.simulation.agents;

import java.util.List;
import java.util.SplittableRandom;
import slateslip.distribution.BackendSession;
import slateslip.simulation.EventQueue;

/**
 * The consecutive incarnations of a backend at one address. Each incarnation sends heartbeats to a
 * control agent at regular intervals. An incarnation ends after draining, with a deregistration
 * without draining, or with a crash.
 */
final class SimulatedBackend {
  static final long HEARTBEAT = 1_200_000;
  private static final long CALL_TIMEOUT = 1_000_000;
  private static final long MIN_LIFETIME = 2_000_000;
  private static final long MAX_LIFETIME = 14_000_000;
  private static final long DRAIN = 2_300_000;
  private static final long UNACKNOWLEDGED_DRAIN = 4_000_000;
  private static final long ADDRESS_REUSE_DELAY = 2_000_000;
  private static final long MAX_SEND_DELAY = 4_000_000;
  private static final int SEND_DELAY_ODDS = 25;
  private static final int ATTEMPTS = 6;
  private static final int SERVICES = 2;

  /** The way in which an incarnation ends. */
  enum ShutdownMode {
    DRAINS_FIRST,
    DELETES_FIRST,
    CRASHES
  }

  /** The lifetime of one backend process. */
  final class Incarnation {
    private final String id;
    private final long startedAt;
    private final String service;
    private long sequence;
    private boolean draining;
    private boolean ended;
    private boolean deregistering;
    private boolean deregistrationAcknowledged;
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

    /**
     * Returns the simulated time in microseconds at which draining or deregistration was
     * acknowledged, or {@link Long#MAX_VALUE}. Connected data planes must send no new requests
     * afterwards.
     */
    long drainAcknowledgedAt() {
      return drainAcknowledgedAt;
    }

    /**
     * Returns the simulated time of the end in microseconds, or {@link Long#MAX_VALUE} before the
     * end.
     */
    long endedAt() {
      return endedAt;
    }

    long startedAt() {
      return startedAt;
    }

    /** Returns whether the backend runs and accepts requests. */
    boolean isReady() {
      return !ended && !draining && !deregistering;
    }

    long acknowledgedAt() {
      return acknowledgedAt;
    }

    @Override
    public String toString() {
      return "%s %s, started %d, acknowledged %d, draining acknowledged %d, ended %d"
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
  private boolean staysUp;
  private int incarnations;

  /**
   * Creates the backend of an address without starting its first incarnation.
   *
   * @param all the list to which each started incarnation is added
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
    events.after(random.nextLong(MIN_LIFETIME, MAX_LIFETIME), () -> shutDown(started));
  }

  /** Prevents the current and later incarnations from starting a shutdown. */
  void stay() {
    staysUp = true;
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
    long sendDelay = random.nextInt(SEND_DELAY_ODDS) == 0 ? random.nextLong(MAX_SEND_DELAY) : 0;
    ControlMachine called = calledAgent();
    boolean[] finished = {false};
    events.after(
        sendDelay,
        () ->
            world.heartbeat(
                called,
                session,
                acknowledged -> {
                  if (acknowledged) {
                    acknowledged(own, session);
                  }
                  tryNext(own, attemptsLeft, session, finished, acknowledged);
                },
                () -> tryNext(own, attemptsLeft, session, finished, false)));
    events.after(CALL_TIMEOUT, () -> tryNext(own, attemptsLeft, session, finished, false));
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
      boolean[] finished,
      boolean acknowledged) {
    if (finished[0]) {
      return;
    }
    finished[0] = true;
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

  private void shutDown(Incarnation own) {
    if (staysUp) {
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
    if (own.deregistrationAcknowledged || attemptsLeft == 0) {
      return;
    }
    own.deregistering = true;
    boolean[] finished = {false};
    Runnable again =
        () -> {
          if (!finished[0]) {
            finished[0] = true;
            agent = null;
            deregister(own, attemptsLeft - 1);
          }
        };
    world.deregister(
        calledAgent(),
        own.id,
        acknowledged -> {
          if (acknowledged) {
            finished[0] = true;
            own.deregistrationAcknowledged = true;
            world.rules().drainAcknowledged(own.id);
            own.drainAcknowledgedAt = Math.min(own.drainAcknowledgedAt, events.nowMicros());
          } else {
            again.run();
          }
        },
        again);
    events.after(CALL_TIMEOUT, again);
  }

  private void end(Incarnation own) {
    if (own.ended) {
      return;
    }
    own.ended = true;
    own.endedAt = events.nowMicros();
    events.after(ADDRESS_REUSE_DELAY + random.nextLong(ADDRESS_REUSE_DELAY), this::start);
  }
}
