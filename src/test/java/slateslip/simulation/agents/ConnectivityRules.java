package slateslip.simulation.agents;

import java.util.List;
import java.util.Map;
import slateslip.distribution.BackendSession;
import slateslip.simulation.RuleViolation;

/**
 * Invariants of the data planes that are connected to the control plane. A data plane is connected
 * if neither the data plane nor the control agents had a fault for some time, no more machines are
 * lost than the deployment tolerates, a majority of the control agents runs and is connected, and
 * the data plane reaches every agent of that majority. The invariant of key leases holds for all
 * data planes.
 */
final class ConnectivityRules {
  private static final long CONTACT_TIMEOUT_MICROS = 3_000_000;
  private static final long CONFIG_APPLY_TIMEOUT_MICROS = 2_000_000;
  private static final long AGENT_SWITCH_MICROS = 1_000_000;
  private static final long DRAIN_TIMEOUT = 2_000_000;

  /**
   * The time in microseconds without faults after which data planes list every live backend and no
   * backend that has crashed.
   */
  private static final long STABLE_MICROS = 9_000_000;

  private final AgentWorld world;
  private long lastFaultMicros;
  private long longestApplyMicros;

  ConnectivityRules(AgentWorld world) {
    this.world = world;
  }

  /**
   * Records that a fault starts or ends at the given time, or lasts until then (in microseconds).
   */
  void faultActiveUntil(long micros) {
    lastFaultMicros = Math.max(lastFaultMicros, micros);
  }

  /**
   * Checks that a data plane with a key lease, whether connected or not, has every configuration
   * that was acknowledged at least the revocation timeout ago. The data plane would otherwise serve
   * API keys that such a configuration revokes.
   */
  private void checkKeyLease(DataPlaneMachine dataPlane) {
    if (!dataPlane.isResponsive() || !dataPlane.hasAccurateClock() || !dataPlane.holdsKeyLease()) {
      return;
    }
    long oldest = now() - DataPlaneMachine.REVOKE_TIMEOUT_MICROS;
    for (Map.Entry<Long, Long> acknowledged : world.history().acknowledgements().entrySet()) {
      if (acknowledged.getKey() > dataPlane.version() && acknowledged.getValue() <= oldest) {
        throw new RuleViolation(
            "data plane %s serves API keys at %d us without version %d, acknowledged at %d us"
                .formatted(dataPlane, now(), acknowledged.getKey(), acknowledged.getValue()));
      }
    }
  }

  /**
   * Returns the longest time in microseconds after an acknowledgement at which a connected data
   * plane did not have the acknowledged version.
   */
  long longestApplyMicros() {
    return longestApplyMicros;
  }

  /**
   * Returns whether all clocks are accurate and the fleet had no fault within the last {@link
   * #CONTACT_TIMEOUT_MICROS}.
   */
  private boolean isFaultFree() {
    return world.shape().clockSpread() == 1 && now() >= lastFaultMicros + CONTACT_TIMEOUT_MICROS;
  }

  /** Checks at an acknowledgement that all data planes without a recent fault have the version. */
  void acknowledged(long version) {
    if (!isFaultFree()) {
      return;
    }
    for (DataPlaneMachine dataPlane : world.dataPlanes()) {
      if (isStable(dataPlane) && dataPlane.version() < version) {
        throw new RuleViolation(
            "version %d was acknowledged before data plane %s had the version"
                .formatted(version, dataPlane));
      }
    }
  }

  /**
   * Checks, when the draining or the deregistration of a backend is acknowledged, that no data
   * plane without a recent fault lists the backend as available.
   */
  void drainAcknowledged(String id) {
    if (!isFaultFree()) {
      return;
    }
    for (DataPlaneMachine dataPlane : world.dataPlanes()) {
      BackendSession listed = dataPlane.backends().get(id);
      if (isStable(dataPlane) && listed != null && !listed.draining()) {
        throw new RuleViolation(
            "draining of backend %s was acknowledged before data plane %s had the change"
                .formatted(id, dataPlane));
      }
    }
  }

  /**
   * Returns whether a data plane had no recent fault and did not recently switch to another agent.
   * During a switch, neither the previous agent nor the new agent waits for the data plane.
   */
  private boolean isStable(DataPlaneMachine dataPlane) {
    return dataPlane.isResponsive()
        && now() >= dataPlane.faultyUntilMicros() + CONTACT_TIMEOUT_MICROS
        && now() >= dataPlane.lastLogLineMicros() + AGENT_SWITCH_MICROS;
  }

  void check() {
    if (world.shape().clockSpread() != 1) {
      return;
    }
    if (world.losses().lost().size() > world.shape().tolerance()) {
      faultActiveUntil(now());
    }
    world.dataPlanes().forEach(this::checkKeyLease);
    for (DataPlaneMachine dataPlane : world.dataPlanes()) {
      long lastFaultAt = Math.max(lastFaultMicros, dataPlane.faultyUntilMicros());
      if (now() >= lastFaultAt + CONTACT_TIMEOUT_MICROS
          && dataPlane.isResponsive()
          && reachesCore(dataPlane)) {
        checkVersion(dataPlane);
        checkDraining(dataPlane);
        if (now() >= lastFaultAt + STABLE_MICROS && !world.network().hasPartitions()) {
          checkBackendList(dataPlane);
        }
      }
    }
  }

  private long now() {
    return world.events().nowMicros();
  }

  /**
   * Returns whether a majority of the control agents is connected and the data plane reaches every
   * agent that reaches such a majority.
   */
  private boolean reachesCore(DataPlaneMachine dataPlane) {
    List<ControlMachine> connected =
        world.controlMachines().stream().filter(this::reachesMajorityOfCore).toList();
    return !connected.isEmpty()
        && connected.stream()
            .allMatch(
                agent -> world.network().reachesBothWays(dataPlane.address(), agent.address()));
  }

  private boolean reachesMajorityOfCore(ControlMachine machine) {
    if (!machine.isResponsive()) {
      return false;
    }
    long reached =
        world.controlMachines().stream()
            .filter(SimulatedMachine::isResponsive)
            .filter(
                other ->
                    other == machine
                        || world.network().reachesBothWays(machine.address(), other.address()))
            .count();
    return 2 * reached > world.controlMachines().size();
  }

  private void checkVersion(DataPlaneMachine dataPlane) {
    for (Map.Entry<Long, Long> acknowledged :
        world.history().acknowledgements().tailMap(dataPlane.version(), false).entrySet()) {
      long age = now() - acknowledged.getValue();
      if (age >= CONFIG_APPLY_TIMEOUT_MICROS) {
        throw new RuleViolation(
            "connected data plane %s has version %d, %d ms after version %d was acknowledged"
                .formatted(dataPlane, dataPlane.version(), age / 1_000, acknowledged.getKey()));
      }
      longestApplyMicros = Math.max(longestApplyMicros, age);
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
            "connected data plane %s routes to backend %s, which is draining"
                .formatted(dataPlane, backend.id()));
      }
    }
  }

  private void checkBackendList(DataPlaneMachine dataPlane) {
    for (SimulatedBackend.Incarnation backend : world.incarnations()) {
      boolean listed = dataPlane.backends().containsKey(backend.id());
      boolean stable = now() - backend.startedAt() >= STABLE_MICROS;
      if (backend.isReady() && stable && !listed) {
        throw new RuleViolation(
            "connected data plane %s does not list backend %s".formatted(dataPlane, backend.id()));
      }
      boolean endedLongAgo =
          backend.endedAt() != Long.MAX_VALUE && now() - backend.endedAt() >= STABLE_MICROS;
      if (endedLongAgo && listed) {
        throw new RuleViolation(
            "connected data plane %s still lists backend %s, which has ended"
                .formatted(dataPlane, backend.id()));
      }
    }
  }
}
