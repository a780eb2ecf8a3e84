package slateslip.simulation.agents;

import java.util.List;
import java.util.Map;
import slateslip.distribution.BackendSession;
import slateslip.simulation.RuleViolation;

/**
 * What must hold at data planes that are in touch: nothing has happened to them or to the core for
 * some time, no more machines are lost than the deployment tolerates, most of the core runs and is
 * connected, and they have a path to all of that part.
 */
final class ConnectivityRules {
  private static final long CONTACT = 3_000_000;
  private static final long CONFIG_APPLY = 2_000_000;
  private static final long TURNED = 1_000_000;
  private static final long DRAIN_TIMEOUT = 2_000_000;

  /** A live backend is listed, and one that ended without a word is not, after this of calm. */
  private static final long STABLE_MICROS = 9_000_000;

  private final AgentWorld world;
  private long troubledAt;
  private long slowestApply;

  ConnectivityRules(AgentWorld world) {
    this.world = world;
  }

  /** Something begins or ends at this time, or goes on until then. */
  void troubled(long micros) {
    troubledAt = Math.max(troubledAt, micros);
  }

  /**
   * A data plane that may send requests with keys, in touch or not, has every configuration that
   * was acknowledged so long ago that a key which it took away must not be served any more.
   */
  private void checkKeyLease(DataPlaneMachine dataPlane) {
    if (!dataPlane.isWell() || !dataPlane.hasRightClock() || !dataPlane.holdsKeyLease()) {
      return;
    }
    long oldest = now() - DataPlaneMachine.REVOKE_TIMEOUT_MICROS;
    for (Map.Entry<Long, Long> acknowledged : world.history().acknowledgements().entrySet()) {
      if (acknowledged.getKey() > dataPlane.version() && acknowledged.getValue() <= oldest) {
        throw new RuleViolation(
            "%s serves keys at %d, %d was acknowledged at %d"
                .formatted(dataPlane, now(), acknowledged.getKey(), acknowledged.getValue()));
      }
    }
  }

  /** Longest time seen between an acknowledgement and the last data plane in touch. */
  long slowestApply() {
    return slowestApply;
  }

  /** An operator or a backend has been told something at a time when nothing was amiss. */
  private boolean isCalm() {
    return world.shape().clockSpread() == 1 && now() >= troubledAt + CONTACT;
  }

  /** A change has just been acknowledged: it is in force, unless somebody is in trouble. */
  void acknowledged(long version) {
    if (!isCalm()) {
      return;
    }
    for (DataPlaneMachine dataPlane : world.dataPlanes()) {
      if (isStable(dataPlane) && dataPlane.version() < version) {
        throw new RuleViolation(
            "%d was acknowledged before %s had it".formatted(version, dataPlane));
      }
    }
  }

  /** It has just been acknowledged that a backend leaves. */
  void drainAcknowledged(String id) {
    if (!isCalm()) {
      return;
    }
    for (DataPlaneMachine dataPlane : world.dataPlanes()) {
      BackendSession listed = dataPlane.backends().get(id);
      if (isStable(dataPlane) && listed != null && !listed.draining()) {
        throw new RuleViolation(
            "that %s leaves was acknowledged before %s had it".formatted(id, dataPlane));
      }
    }
  }

  /** While it turns to another agent, neither of the two waits for it. */
  private boolean isStable(DataPlaneMachine dataPlane) {
    return dataPlane.isWell()
        && now() >= dataPlane.troubledUntil() + CONTACT
        && now() >= dataPlane.reportedAt() + TURNED;
  }

  void check() {
    if (world.shape().clockSpread() != 1) {
      return;
    }
    if (world.losses().lost().size() > world.shape().tolerance()) {
      troubled(now());
    }
    world.dataPlanes().forEach(this::checkKeyLease);
    for (DataPlaneMachine dataPlane : world.dataPlanes()) {
      long calmSince = Math.max(troubledAt, dataPlane.troubledUntil());
      if (now() >= calmSince + CONTACT && dataPlane.isWell() && reachesCore(dataPlane)) {
        checkVersion(dataPlane);
        checkDraining(dataPlane);
        if (now() >= calmSince + STABLE_MICROS && !world.network().hasCuts()) {
          checkList(dataPlane);
        }
      }
    }
  }

  private long now() {
    return world.events().nowMicros();
  }

  /** Whether most of the core is connected, and this machine has a path to all of that part. */
  private boolean reachesCore(DataPlaneMachine dataPlane) {
    List<ControlMachine> connected =
        world.controlMachines().stream().filter(this::reachesMajorityOfCore).toList();
    return !connected.isEmpty()
        && connected.stream()
            .allMatch(agent -> world.network().passes(dataPlane.address(), agent.address()));
  }

  private boolean reachesMajorityOfCore(ControlMachine machine) {
    if (!machine.isWell()) {
      return false;
    }
    long reached =
        world.controlMachines().stream()
            .filter(SimulatedMachine::isWell)
            .filter(
                other ->
                    other == machine || world.network().passes(machine.address(), other.address()))
            .count();
    return 2 * reached > world.controlMachines().size();
  }

  private void checkVersion(DataPlaneMachine dataPlane) {
    for (Map.Entry<Long, Long> acknowledged :
        world.history().acknowledgements().tailMap(dataPlane.version(), false).entrySet()) {
      long age = now() - acknowledged.getValue();
      if (age >= CONFIG_APPLY) {
        throw new RuleViolation(
            "data plane %s in touch is on %d, %d ms after %d was acknowledged"
                .formatted(dataPlane, dataPlane.version(), age / 1_000, acknowledged.getKey()));
      }
      slowestApply = Math.max(slowestApply, age);
    }
  }

  private void checkDraining(DataPlaneMachine dataPlane) {
    for (SimulatedBackend.Incarnation backend : world.incarnations()) {
      boolean late =
          backend.drainAcknowledgedAt() != Long.MAX_VALUE
              && now() - backend.drainAcknowledgedAt() >= DRAIN_TIMEOUT;
      BackendSession listed = dataPlane.backends().get(backend.id());
      if (late && listed != null && !listed.draining()) {
        throw new RuleViolation(
            "data plane %s in touch routes to %s, which leaves".formatted(dataPlane, backend.id()));
      }
    }
  }

  private void checkList(DataPlaneMachine dataPlane) {
    for (SimulatedBackend.Incarnation backend : world.incarnations()) {
      boolean listed = dataPlane.backends().containsKey(backend.id());
      boolean stable = now() - backend.startedAt() >= STABLE_MICROS;
      if (backend.isReady() && stable && !listed) {
        throw new RuleViolation(
            "data plane %s in touch does not know %s".formatted(dataPlane, backend.id()));
      }
      boolean longGone =
          backend.endedAt() != Long.MAX_VALUE && now() - backend.endedAt() >= STABLE_MICROS;
      if (longGone && listed) {
        throw new RuleViolation(
            "data plane %s in touch still lists %s".formatted(dataPlane, backend.id()));
      }
    }
  }
}
