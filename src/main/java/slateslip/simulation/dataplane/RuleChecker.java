package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import slateslip.simulation.EventQueue;
import slateslip.simulation.dataplane.Violation.Rule;

/** Watches what backends, clients and hosts see, and collects the rules that are broken. */
final class RuleChecker {
  private final WorldPlan plan;
  private final EventQueue loop;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, TryRecord> attempts = new HashMap<>();
  private final Map<String, Series> runTokensByTenant = new TreeMap<>();
  private final Map<String, Series> requestsByService = new TreeMap<>();
  private final Map<String, Series> repeatsByService = new TreeMap<>();

  RuleChecker(WorldPlan plan, EventQueue loop) {
    this.plan = plan;
    this.loop = loop;
  }

  List<Violation> violations() {
    return violations;
  }

  void broken(Rule rule, String detail) {
    violations.add(new Violation(rule, loop.nowMicros(), detail));
  }

  /** A client has sent an attempt. */
  void sent(ClientAttempt sent) {
    attempts.put(
        sent.attemptId(), new TryRecord(sent.requestClass(), sent.tenant(), sent.tokens()));
    series(requestsByService, sent.requestClass().service()).add(loop.nowMicros(), 1);
  }

  /** A try has reached a backend, which may yet reject it. */
  void reached(BackendCall call, SimulatedBackend backend) {
    TryRecord record = attempts.get(call.attemptId());
    record.arrivals++;
    if (record.arrivals > 1) {
      series(repeatsByService, backend.service()).add(loop.nowMicros(), 1);
    }
    boolean exempt = !call.backendId().equals(backend.id()) || call.host().recentlyTroubled();
    if (!exempt
        && backend.drainAcknowledgedMicros() >= 0
        && loop.nowMicros()
            > backend.drainAcknowledgedMicros() + plan.bounds().drainTimeoutMicros()) {
      broken(Rule.DRAIN, call.attemptId() + " reached " + backend.id());
    }
  }

  /** A backend has begun to work on an attempt. */
  void ran(BackendCall call, SimulatedBackend backend) {
    TryRecord record = attempts.get(call.attemptId());
    record.runs++;
    record.ranAt.add(backend.id());
    if (record.runs == 1) {
      series(runTokensByTenant, record.tenant).add(loop.nowMicros(), (double) record.tokens);
    }
    if (!record.requestClass.repeatable() && record.runs > 1) {
      broken(Rule.RAN_TWICE, call.attemptId() + " at " + record.ranAt);
    }
    if (!record.requestClass.repeatable() && record.promised) {
      broken(Rule.PROMISE_BROKEN, call.attemptId() + " ran after its refusal");
    }
    if (!backend.service().equals(record.requestClass.service())) {
      broken(Rule.WRONG_SERVICE, call.attemptId() + " at " + backend.id());
    }
    if (!record.tenant.equals(call.tenant())) {
      broken(Rule.WRONG_TENANT, call.attemptId() + " as " + call.tenant());
    }
    record.ranAt.removeAll(record.crashed);
    if (record.ranAt.size() > record.requestClass.maxAttempts()) {
      broken(Rule.MAX_ATTEMPTS, call.attemptId() + " at " + record.ranAt);
    }
  }

  /** A backend crashed while it worked on an attempt: it does not count as one of its backends. */
  void crashedDuring(BackendCall call, SimulatedBackend backend) {
    attempts.get(call.attemptId()).crashed.add(backend.id());
  }

  /** A data plane has promised that an attempt has not run. */
  void promised(String attemptId) {
    TryRecord record = attempts.get(attemptId);
    record.promised = true;
    if (!record.requestClass.repeatable() && record.runs > 0) {
      broken(Rule.PROMISE_BROKEN, attemptId + " had run at " + record.ranAt);
    }
  }

  /** The rules over sliding windows; called once, at the end. */
  void checkWindows() {
    WorldPlan.Bounds bounds = plan.bounds();
    for (int i = 0; i < plan.tenants().size(); i++) {
      double rate = plan.tenants().get(i).tokensPerSecond();
      Series runs = series(runTokensByTenant, WorldPlans.tenantName(i));
      double allowance = rate * bounds.quotaWindowMicros() / 1e6 + rate;
      double limit = allowance * (1 + bounds.quotaOvershoot()) + bounds.quotaSlack();
      if (rate > 0) {
        checkQuota(WorldPlans.tenantName(i), runs, limit, bounds.quotaWindowMicros());
      }
    }
    repeatsByService.forEach(this::checkRetryBudget);
  }

  private void checkQuota(String tenant, Series runs, double limit, long windowMicros) {
    for (int i = 0; i < runs.size(); i++) {
      double sum = runs.sum(runs.time(i) - windowMicros, runs.time(i));
      if (sum > limit) {
        broken(Rule.QUOTA, tenant + " ran " + sum + " tokens, limit " + limit);
        return;
      }
    }
  }

  private void checkRetryBudget(String service, Series repeats) {
    WorldPlan.Bounds bounds = plan.bounds();
    Series requests = series(requestsByService, service);
    long window = bounds.retryWindowMicros();
    for (int i = 0; i < repeats.size(); i++) {
      long end = repeats.time(i);
      double max =
          Math.max(
              requests.sum(end - window, end),
              Math.max(
                  requests.sum(end - 2 * window, end - window),
                  requests.sum(end - window * 3 / 2, end - window / 2)));
      double limit = bounds.retryBudgetRatio() * max + bounds.retryBudgetSlack();
      double sum = repeats.sum(end - window, end);
      if (sum > limit) {
        broken(Rule.RETRY_BUDGET, service + " had " + sum + " repeats, limit " + limit);
        return;
      }
    }
  }

  private static Series series(Map<String, Series> all, String name) {
    return all.computeIfAbsent(name, key -> new Series());
  }

  private static final class TryRecord {
    private final RequestClass requestClass;
    private final String tenant;
    private final long tokens;
    private final Set<String> ranAt = new HashSet<>();
    private final Set<String> crashed = new HashSet<>();
    private int arrivals;
    private int runs;
    private boolean promised;

    TryRecord(RequestClass requestClass, String tenant, long tokens) {
      this.requestClass = requestClass;
      this.tenant = tenant;
      this.tokens = tokens;
    }
  }
}
