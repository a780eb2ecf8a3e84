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

/**
 * Checks the rules against the events of backends, clients and data planes, and collects the
 * violations.
 */
final class RuleChecker {
  private final WorldPlan plan;
  private final EventQueue loop;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, AttemptRecord> attempts = new HashMap<>();
  private final Map<String, Series> runTokensByTenant = new TreeMap<>();
  private final Map<String, Series> requestsByService = new TreeMap<>();
  private final Map<String, Series> retriesByService = new TreeMap<>();

  RuleChecker(WorldPlan plan, EventQueue loop) {
    this.plan = plan;
    this.loop = loop;
  }

  List<Violation> violations() {
    return violations;
  }

  void report(Rule rule, String detail) {
    violations.add(new Violation(rule, loop.nowMicros(), detail));
  }

  /** Records an attempt that a client sends. */
  void sent(ClientAttempt sent) {
    attempts.put(
        sent.attemptId(), new AttemptRecord(sent.requestClass(), sent.tenant(), sent.tokens()));
    series(requestsByService, sent.requestClass().service()).add(loop.nowMicros(), 1);
  }

  /** Records an attempt that reached a backend; the backend may still reject the attempt. */
  void reached(BackendCall call, SimulatedBackend backend) {
    AttemptRecord record = attempts.get(call.attemptId());
    record.arrivals++;
    if (record.arrivals > 1) {
      series(retriesByService, backend.service()).add(loop.nowMicros(), 1);
    }
    boolean exempt = !call.backendId().equals(backend.id()) || call.host().rulesSuspended();
    if (!exempt
        && backend.drainAcknowledgedMicros() >= 0
        && loop.nowMicros()
            > backend.drainAcknowledgedMicros() + plan.bounds().drainTimeoutMicros()) {
      report(Rule.DRAIN, call.attemptId() + " reached draining backend " + backend.id());
    }
  }

  /** Records that a backend starts to execute an attempt. */
  void executionStarted(BackendCall call, SimulatedBackend backend) {
    AttemptRecord record = attempts.get(call.attemptId());
    record.runs++;
    record.executedAt.add(backend.id());
    if (record.runs == 1) {
      series(runTokensByTenant, record.tenant).add(loop.nowMicros(), (double) record.tokens);
    }
    if (!record.requestClass.repeatable() && record.runs > 1) {
      report(Rule.RAN_TWICE, call.attemptId() + " at " + record.executedAt);
    }
    if (!record.requestClass.repeatable() && record.guaranteedNotExecuted) {
      report(Rule.PROMISE_BROKEN, call.attemptId() + " was executed after its refusal");
    }
    if (!backend.service().equals(record.requestClass.service())) {
      report(Rule.WRONG_SERVICE, call.attemptId() + " at " + backend.id());
    }
    if (!record.tenant.equals(call.tenant())) {
      report(Rule.WRONG_TENANT, call.attemptId() + " as " + call.tenant());
    }
    record.executedAt.removeAll(record.crashed);
    if (record.executedAt.size() > record.requestClass.maxAttempts()) {
      report(Rule.MAX_ATTEMPTS, call.attemptId() + " at " + record.executedAt);
    }
  }

  /**
   * Records that a backend crashed while executing an attempt; the backend does not count toward
   * the attempt limit.
   */
  void crashedDuring(BackendCall call, SimulatedBackend backend) {
    attempts.get(call.attemptId()).crashed.add(backend.id());
  }

  /** Records a response that guarantees that no backend has executed the attempt. */
  void guaranteedNotExecuted(String attemptId) {
    AttemptRecord record = attempts.get(attemptId);
    record.guaranteedNotExecuted = true;
    if (!record.requestClass.repeatable() && record.runs > 0) {
      report(
          Rule.PROMISE_BROKEN,
          attemptId + " was refused after its execution at " + record.executedAt);
    }
  }

  /** Checks the rules over sliding windows; called once at the end of a run. */
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
    retriesByService.forEach(this::checkRetryBudget);
  }

  private void checkQuota(String tenant, Series runs, double limit, long windowMicros) {
    for (int i = 0; i < runs.size(); i++) {
      double sum = runs.sum(runs.time(i) - windowMicros, runs.time(i));
      if (sum > limit) {
        report(Rule.QUOTA, tenant + " executed " + sum + " tokens, limit " + limit);
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
        report(Rule.RETRY_BUDGET, service + " received " + sum + " retries, limit " + limit);
        return;
      }
    }
  }

  private static Series series(Map<String, Series> all, String name) {
    return all.computeIfAbsent(name, key -> new Series());
  }

  private static final class AttemptRecord {
    private final RequestClass requestClass;
    private final String tenant;
    private final long tokens;
    private final Set<String> executedAt = new HashSet<>();
    private final Set<String> crashed = new HashSet<>();
    private int arrivals;
    private int runs;
    private boolean guaranteedNotExecuted;

    AttemptRecord(RequestClass requestClass, String tenant, long tokens) {
      this.requestClass = requestClass;
      this.tenant = tenant;
      this.tokens = tokens;
    }
  }
}
