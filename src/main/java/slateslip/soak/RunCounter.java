package slateslip.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Counts how often the backends execute each request, and records the executed requests of the
 * limited tenant. Thread-safe.
 */
final class RunCounter {
  private final LongSupplier clockMillis;
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final List<TenantRun> tenantRuns = Collections.synchronizedList(new ArrayList<>());

  RunCounter(LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
  }

  void recordRun(String attemptId) {
    runs.merge(attemptId, 1, Integer::sum);
  }

  void recordTenantRun(long units) {
    synchronized (tenantRuns) {
      tenantRuns.add(new TenantRun(clockMillis.getAsLong(), units));
    }
  }

  Map<String, Integer> runsByAttemptId() {
    return Map.copyOf(runs);
  }

  /** Returns the executed requests of the limited tenant in the order of their start. */
  List<TenantRun> tenantRuns() {
    synchronized (tenantRuns) {
      return List.copyOf(tenantRuns);
    }
  }
}
